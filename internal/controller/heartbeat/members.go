package heartbeat

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorystage/hickorystage/internal/fleet"
)

const (
	// maxIntroduced is the number of gateways that one introduction describes in full,
	// maxMembersPerSummary that of a summary, and maxRelayedMembers that of a summary
	// that is passed on and may have been merged from several. Each description takes
	// some 250 bytes; a datagram holds 64 KB, and up to summariesPerMessage summaries.
	maxIntroduced        = 48
	maxMembersPerSummary = 24
	maxRelayedMembers    = 72
	summariesPerMessage  = 3
	// changeRepeats is the number of summaries that describe a gateway in full after
	// it has changed; some of them may be lost.
	changeRepeats = 3
	// An unchanged list of living members is in one of aliveListSummaries summaries,
	// and all members of a large region are described in turn over
	// inTurnSummaries of them.
	aliveListSummaries = 8
	inTurnSummaries    = 60
	// maxAliveLists is the number of lists of one region that are kept: those of its
	// hubs, and their previous ones.
	maxAliveLists = 4
)

// describer chooses the members of a region that summaries for one audience describe
// in full: those that have changed, and the others in turn.
type describer struct {
	described map[string]description
	// last is the id of the member that was last described in turn.
	last string
	// aliveHash is the hash of the last list of living members, aliveSummaries the
	// number of summaries since it changed.
	aliveHash      uint64
	aliveSummaries int
}

// description is what of a gateway has been described, and how often.
type description struct {
	identity string
	repeats  int
}

func newDescriber() *describer { return &describer{described: make(map[string]description)} }

// includeAlive reports whether the next summary holds the list of living members with
// the given hash: a changed list is repeated, an unchanged one sent now and then.
func (d *describer) includeAlive(hash uint64) bool {
	if hash != d.aliveHash {
		d.aliveHash, d.aliveSummaries = hash, 0
	}
	d.aliveSummaries++
	return d.aliveSummaries <= changeRepeats || d.aliveSummaries%aliveListSummaries == 0
}

// choose returns the members, at most maxMembersPerSummary, that the next summary
// describes: the changed ones that were described least often first, then inTurn
// others. members has to be ordered by id.
func (d *describer) choose(members []fleet.GatewayStatus, inTurn int) []fleet.GatewayStatus {
	current := make(map[string]description, len(members))
	var changed, others []fleet.GatewayStatus
	for _, m := range members {
		identity := m.Incarnation
		if m.Leaving {
			identity += " leaving"
		}
		next := d.described[m.ID]
		if next.identity != identity {
			next = description{identity: identity}
		}
		current[m.ID] = next
		if next.repeats < changeRepeats {
			changed = append(changed, m)
		} else {
			others = append(others, m)
		}
	}
	d.described = current
	slices.SortStableFunc(changed, func(a, b fleet.GatewayStatus) int { return current[a.ID].repeats - current[b.ID].repeats })
	out := changed[:min(len(changed), maxMembersPerSummary)]
	for _, m := range out {
		next := current[m.ID]
		next.repeats++
		current[m.ID] = next
	}
	return append(out, d.takeInTurn(others, min(inTurn, maxMembersPerSummary-len(out)))...)
}

// takeInTurn returns the next n members after the last one.
func (d *describer) takeInTurn(members []fleet.GatewayStatus, n int) []fleet.GatewayStatus {
	n = min(n, len(members))
	if n <= 0 {
		return nil
	}
	first := slices.IndexFunc(members, func(m fleet.GatewayStatus) bool { return m.ID > d.last })
	first = max(first, 0)
	out := make([]fleet.GatewayStatus, 0, n)
	for i := range n {
		out = append(out, members[(first+i)%len(members)])
	}
	d.last = out[n-1].ID
	return out
}

// membersInTurn returns how many of a region's members a summary describes in turn. A
// small region is described whole in the summaries that allMembers marks, a large one
// over inTurnSummaries of them.
func membersInTurn(members int, allMembers bool) int {
	switch {
	case members > fleet.MaxFullMeshGateways:
		return (members + inTurnSummaries - 1) / inTurnSummaries
	case allMembers:
		return members
	default:
		return 0
	}
}

// mergeMembers returns the members of both lists, the newer description of each. The
// oldest descriptions are left out beyond maxRelayedMembers.
func mergeMembers(older, newer []fleet.GatewayStatus) []fleet.GatewayStatus {
	out := slices.Clone(newer)
	for _, m := range slices.Backward(older) {
		if len(out) >= maxRelayedMembers {
			break
		}
		if !slices.ContainsFunc(out, func(o fleet.GatewayStatus) bool { return o.ID == m.ID }) {
			out = append(out, m)
		}
	}
	return out
}

// hashAlive returns the hash of a list of living members, never 0.
func hashAlive(alive []fleet.CompactStatus) uint64 {
	h := xxhash.New()
	for _, m := range alive {
		_, _ = h.WriteString(string(m))
		_, _ = h.Write([]byte{0})
	}
	return max(h.Sum64(), 1)
}

// aliveLists holds the last lists of living members that hubs of each region sent, the
// newest first.
type aliveLists map[string][]aliveList

type aliveList struct {
	hash  uint64
	alive []fleet.CompactStatus
}

// complete returns the list of the summary, from an earlier one if it was left out,
// and whether it is known. It keeps the list.
func (l aliveLists) complete(s RegionSummary) ([]fleet.CompactStatus, bool) {
	if s.AliveHash == 0 {
		// An earlier build always sends the list.
		return s.Alive, true
	}
	lists := l[s.Region]
	i := slices.IndexFunc(lists, func(a aliveList) bool { return a.hash == s.AliveHash })
	switch {
	case i >= 0:
		return lists[i].alive, true
	case len(s.Alive) == 0:
		return nil, false
	}
	lists = slices.Insert(lists, 0, aliveList{hash: s.AliveHash, alive: s.Alive})
	l[s.Region] = lists[:min(len(lists), maxAliveLists)]
	return s.Alive, true
}
