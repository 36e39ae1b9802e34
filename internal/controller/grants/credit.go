package grants

import (
	"math"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorystage/hickorystage/internal/allowance"
	"github.com/hickorystage/hickorystage/internal/telemetry"
)

var (
	creditAsked    = telemetry.NewCounter("credit_asked", "requests", "requests for credit of client accounts sent to their coordinators")
	creditAnswered = telemetry.NewCounter("credit_answered", "requests", "requests of other gateways for credit of client accounts answered")
	creditReceived = telemetry.NewCounter("credit_received", "responses", "responses to requests for credit received")
)

// CreditAsk asks the coordinator of a client account for credit. Nobody waits for the
// response, which may come late or never. Without what says whose ask it is and whether the
// asking gateway uses its own part of the limit, it isn't read: that part would be handed out
// too.
type CreditAsk struct {
	Account string `json:"t" lenient:"required"`
	// Gateway is the id of the asking gateway.
	Gateway string `json:"g" lenient:"required"`
	// AskedAt is when the ask was made by the asking gateway's clock, for its use only.
	AskedAt int64 `json:"i"`
	// Version is that of the asking gateway's configuration, PerSecond and Burst are the
	// account's limit in it.
	Version   uint64  `json:"v"`
	PerSecond float64 `json:"r"`
	Burst     float64 `json:"b"`
	// Gateways is the number of gateways that the asking one remembers, itself included.
	Gateways int `json:"m,omitempty"`
	// Probe is set if the asking gateway only wants to know whether the other one is the
	// coordinator. The rest, an allowance.Ask, is empty then.
	Probe bool `json:"p,omitempty" lenient:"required"`
	// Claimed are the gateways to which the asking one hands out credit as the coordinator
	// of a group that doesn't hear the other one.
	Claimed []string `json:"o,omitempty"`

	Need             float64 `json:"n,omitempty"`
	First            float64 `json:"f,omitempty"`
	Ahead            float64 `json:"a,omitempty"`
	Returned         float64 `json:"x,omitempty"`
	UnansweredMillis int64   `json:"u,omitempty" lenient:"required"`
	Leave            bool    `json:"l,omitempty"`
}

// Ask returns what is asked for.
func (a *CreditAsk) Ask() allowance.Ask {
	return allowance.Ask{
		Need: a.Need, First: a.First, Ahead: a.Ahead, Returned: a.Returned,
		Unanswered: time.Duration(a.UnansweredMillis) * time.Millisecond, Leave: a.Leave,
	}
}

// isValid reports whether the numbers are such as a gateway sends.
func (a *CreditAsk) isValid() bool {
	if !(a.PerSecond > 0) || a.UnansweredMillis < 0 {
		return false
	}
	for _, v := range []float64{a.PerSecond, a.Burst, a.Need, a.First, a.Ahead, a.Returned} {
		if !(v >= 0) || math.IsInf(v, 0) {
			return false
		}
	}
	return a.Account != "" && a.Gateway != ""
}

// CreditGrant is the response to a CreditAsk. Without what says whether the responding gateway
// coordinates the account, it isn't read: an asking gateway that uses its own part of the limit
// would stop, or two gateways would coordinate.
type CreditGrant struct {
	Account string `json:"t"`
	// Gateway is the id of the responding gateway. AskedAt, Leave and Probe are those of the
	// ask.
	Gateway string `json:"g"`
	AskedAt int64  `json:"i"`
	Leave   bool   `json:"l,omitempty"`
	Probe   bool   `json:"p,omitempty"`
	// Gateways is the number of gateways that the responding one remembers, itself included.
	Gateways int `json:"m,omitempty"`
	// Coordinator and Address are set if the responding gateway isn't the coordinator of
	// the account: who is, as far as it knows, and where. Nothing is granted then.
	Coordinator string `json:"c,omitempty" lenient:"required"`
	Address     string `json:"a,omitempty"`
	// Starting is set if the responding gateway is the coordinator, but grants nothing yet.
	Starting         bool    `json:"s,omitempty" lenient:"required"`
	Credit           float64 `json:"n,omitempty"`
	TTLMillis        int64   `json:"d,omitempty"`
	RetryAfterMillis int64   `json:"h,omitempty"`
}

// Grant returns what is granted.
func (g *CreditGrant) Grant() allowance.Grant {
	return allowance.Grant{
		Credit: g.Credit, Starting: g.Starting,
		TTL: time.Duration(g.TTLMillis) * time.Millisecond, RetryAfter: time.Duration(g.RetryAfterMillis) * time.Millisecond,
	}
}

func (g *CreditGrant) isValid() bool {
	return g.Account != "" && g.Credit >= 0 && !math.IsInf(g.Credit, 0) && g.TTLMillis >= 0 && g.RetryAfterMillis >= 0
}

// CreditKeeper answers the asks of other gateways and takes the credit that they grant.
type CreditKeeper interface {
	AnswerCredit(ask CreditAsk) CreditGrant
	ReceiveCredit(grant CreditGrant)
}

// SetCreditKeeper sets the CreditKeeper. It must be called before Run; without it messages
// about credit are ignored.
func (c *Controller) SetCreditKeeper(k CreditKeeper) { c.creditKeeper = k }

// SendCreditAsk sends an ask to the gateway at the address (host:port).
func (c *Controller) SendCreditAsk(address string, ask CreditAsk) error {
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return errors.Wrap(err, "resolve gateway address")
	}
	creditAsked.Inc()
	return c.send(message{CreditAsk: &ask}, to)
}

// handleCredit handles a message about credit. It returns false if it is none.
func (c *Controller) handleCredit(m message, from net.Addr) bool {
	switch {
	case c.creditKeeper == nil:
		return false
	case m.CreditAsk != nil && m.CreditAsk.isValid():
		response := c.creditKeeper.AnswerCredit(*m.CreditAsk)
		creditAnswered.Inc()
		c.respond(message{CreditGrant: &response, Unreadable: m.Unreadable}, from)
	case m.CreditGrant != nil && m.CreditGrant.isValid():
		creditReceived.Inc()
		c.logRefused(m.CreditGrant.Gateway, m)
		c.creditKeeper.ReceiveCredit(*m.CreditGrant)
	default:
		return false
	}
	return true
}
