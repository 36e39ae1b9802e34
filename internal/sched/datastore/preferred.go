package datastore

import (
	"sort"
)

// SetGatewayIDs tells the ids of the live gateways of this region, this one
// included. The region's endpoints are dealt out to them, so that gateways put
// large prefills to different endpoints and know most of the load of their own
// ones without lag. It is only a preference, so gateways need not agree.
func (s *Store) SetGatewayIDs(self string, ids []string) {
	sorted := append([]string(nil), ids...)
	sort.Strings(sorted)
	s.layout.mu.Lock()
	s.layout.self, s.layout.ids = self, sorted
	s.layout.count = max(len(sorted), 1)
	s.layout.rebuild()
	s.layout.mu.Unlock()
	s.deal()
}

// deal marks the endpoints that this gateway goes to first.
func (s *Store) deal() {
	own := s.layout.own()
	for i := range s.shards {
		s.dealShard(&s.shards[i], own)
	}
}

func (s *Store) dealShard(sh *shard, own map[string]bool) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for id, e := range sh.entries {
		if e.cur.Preferred != own[id] {
			e.cur.Preferred = own[id]
			e.publish(&s.opts.Health)
		}
	}
}

// own returns this gateway's endpoints of all groups.
func (l *layout) own() map[string]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]bool)
	place := sort.SearchStrings(l.ids, l.self)
	for _, members := range l.members {
		ids := make([]string, 0, len(members))
		for id := range members {
			ids = append(ids, id)
		}
		sort.Strings(ids)
		for i, id := range ids {
			if len(l.ids) < 2 || dealtTo(i, len(ids), place, len(l.ids)) {
				out[id] = true
			}
		}
	}
	return out
}

// dealtTo says whether endpoint i of n is among those of gateway g of m. With
// more gateways than endpoints, several gateways have the same endpoint.
func dealtTo(i, n, g, m int) bool {
	if m <= n {
		return i%m == g
	}
	return g%n == i
}
