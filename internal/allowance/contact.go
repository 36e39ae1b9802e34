package allowance

import "time"

const (
	// keepAliveInterval is the longest time between two asks of a gateway with requests.
	keepAliveInterval = 350 * time.Millisecond
	// outOfContactAfter is the time without an answer from which on a gateway tells the
	// coordinator that it gets none: two lost datagrams and a round trip between regions.
	outOfContactAfter = 700 * time.Millisecond
	// silentAfter is the time after which a coordinator that gets no ask from a gateway
	// keeps back the part of the limit that is that gateway's.
	silentAfter = 900 * time.Millisecond
	// aloneAfter is the time without an answer after which a gateway uses its own part: the
	// coordinator has missed the next asks for silentAfter by then, or has been told, and
	// a transit between regions has passed.
	aloneAfter = 1200 * time.Millisecond
	// DetectionTime is the time after which a gateway that the others no longer hear, or
	// that no longer hears them, counts as gone in everyone's view of the fleet: the time
	// for which gateways known from summaries count as alive, and a heartbeat. A gateway
	// that was not in contact with the coordinator before uses its own part only then.
	DetectionTime = 3500 * time.Millisecond
	// forgetTime is the time without an ask after which a gateway counts as one that never
	// asked. One that uses its own part goes on asking, and one that another coordinator
	// serves is claimed by that.
	forgetTime = 10 * time.Second
	// claimTime is how long a claim counts. Coordinators repeat them several times a second.
	claimTime = 1500 * time.Millisecond
	// leaveTime is how long a gateway tries to end the contact.
	leaveTime = 2 * time.Second
)

// contact is what a wallet knows of its contact with the coordinator. It is zero while the
// gateway asks for nothing.
type contact struct {
	// answeredAt is when the last ask was sent that was answered, zero if none was.
	// firstAskAt is when the first ask was sent.
	answeredAt, firstAskAt, lastAskAt time.Time
	// isUncoordinated is set once the gateways that were asked have said for
	// outOfContactAfter that they coordinate nothing.
	isUncoordinated bool
}

// begin records an ask and returns the time without an answer.
func (c *contact) begin(now time.Time) time.Duration {
	if c.firstAskAt.IsZero() {
		c.firstAskAt = now
	}
	c.lastAskAt = now
	return c.unanswered(now)
}

func (c *contact) unanswered(now time.Time) time.Duration {
	if c.answeredAt.IsZero() {
		return now.Sub(c.firstAskAt)
	}
	return now.Sub(c.answeredAt)
}

func (c *contact) answered(askedAt time.Time, leave bool) {
	switch {
	case c.firstAskAt.IsZero():
	case leave && askedAt.Equal(c.lastAskAt):
		*c = contact{}
	case askedAt.After(c.answeredAt):
		c.answeredAt = askedAt
	}
}

// isDue reports whether the coordinator has to hear of the gateway.
func (c *contact) isDue(now time.Time) bool {
	return !c.firstAskAt.IsZero() && now.Sub(c.lastAskAt) >= keepAliveInterval && !c.isLost(now)
}

// isLost reports whether the coordinator, if there is one, keeps back the gateway's part.
func (c *contact) isLost(now time.Time) bool {
	if c.firstAskAt.IsZero() {
		return false
	}
	if c.answeredAt.IsZero() {
		return c.isUncoordinated || now.Sub(c.firstAskAt) >= DetectionTime
	}
	return now.Sub(c.answeredAt) >= aloneAfter
}

// isProvisional reports whether the gateway uses its own part although the time after which
// no coordinator counts it has not passed.
func (c *contact) isProvisional(now time.Time) bool {
	return c.isUncoordinated && c.answeredAt.IsZero() && now.Sub(c.firstAskAt) < DetectionTime
}

// markUncoordinated records that a gateway which was asked coordinates nothing. Asks sent
// after outOfContactAfter tell a coordinator to keep back this gateway's part, and one that
// served its previous process has missed the asks of that for silentAfter by then.
func (c *contact) markUncoordinated(now time.Time) {
	if c.answeredAt.IsZero() && !c.firstAskAt.IsZero() && now.Sub(c.firstAskAt) >= outOfContactAfter {
		c.isUncoordinated = true
	}
}

// isOver reports whether there is no contact, or none that could be ended.
func (c *contact) isOver(now time.Time) bool {
	return c.firstAskAt.IsZero() || c.unanswered(now) >= leaveTime
}

// Contacts are the gateways that ask a coordinator for credit of one account. The zero
// value has none. It is not safe for concurrent use.
type Contacts struct {
	gateways map[string]gatewayContact
	// claims holds until when gateways count as served by another coordinator.
	claims map[string]time.Time
}

type gatewayContact struct {
	askedAt time.Time
	// isAlone is set if the gateway gets no answers.
	isAlone bool
}

// Record records an ask and reports whether the gateway may get credit. It may not while
// it gets no answers: it may be using its own part of the limit.
func (c *Contacts) Record(gateway string, ask Ask, now time.Time) bool {
	if ask.Leave && ask.Unanswered < outOfContactAfter {
		delete(c.gateways, gateway)
		return true
	}
	if c.gateways == nil {
		c.gateways = make(map[string]gatewayContact)
	}
	isAlone := ask.Unanswered >= outOfContactAfter
	c.gateways[gateway] = gatewayContact{askedAt: now, isAlone: isAlone}
	return !isAlone
}

// Claim records that another coordinator, which can't hear this one, hands out the parts
// of the gateways.
func (c *Contacts) Claim(gateways []string, now time.Time) {
	if c.claims == nil {
		c.claims = make(map[string]time.Time)
	}
	for _, id := range gateways {
		c.claims[id] = now.Add(claimTime)
	}
}

// Remove removes the gateways for which keep returns false, those that have left or don't
// run any more, and what is out of date.
func (c *Contacts) Remove(now time.Time, keep func(gateway string) bool) {
	for id, g := range c.gateways {
		if !keep(id) || now.Sub(g.askedAt) >= forgetTime {
			delete(c.gateways, id)
		}
	}
	for id, until := range c.claims {
		if !now.Before(until) {
			delete(c.claims, id)
		}
	}
}

// IsLost reports whether a gateway that was in contact no longer is, so that its part of
// the limit is its own.
func (c *Contacts) IsLost(gateway string, now time.Time) bool {
	if now.Before(c.claims[gateway]) {
		return true
	}
	g, ok := c.gateways[gateway]
	return ok && (g.isAlone || now.Sub(g.askedAt) >= silentAfter)
}
