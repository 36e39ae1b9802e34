package datastore

import (
	"sort"
)

// SetGatewayIDs sets the ids of the live gateways of this region, including this
// one. Each gateway prefers its own part of the region's endpoints. Thus gateways
// send large prefills to different endpoints, and each knows most of the load of
// the endpoints that it prefers without waiting for a load report. Gateways need
// not agree on the parts, because the preference only changes an endpoint's score.
func (s *Store) SetGatewayIDs(self string, ids []string) {
	sorted := append([]string(nil), ids...)
	sort.Strings(sorted)
	s.topology.mu.Lock()
	s.topology.self, s.topology.gatewayIDs = self, sorted
	s.topology.gatewayCount = max(len(sorted), 1)
	s.topology.rebuild()
	s.topology.mu.Unlock()
	s.assignPreferred()
}

// assignPreferred updates which endpoints this gateway prefers.
func (s *Store) assignPreferred() {
	preferred := s.topology.preferred()
	for i := range s.shards {
		s.assignPreferredInShard(&s.shards[i], preferred)
	}
}

func (s *Store) assignPreferredInShard(sh *shard, preferred map[string]bool) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for id, e := range sh.entries {
		if e.current.Preferred != preferred[id] {
			e.current.Preferred = preferred[id]
			e.publish(&s.opts.Health)
		}
	}
}

// preferred returns the ids of the endpoints of all groups that this gateway
// prefers. A gateway without peers prefers all of them.
func (t *topology) preferred() map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]bool)
	rank := sort.SearchStrings(t.gatewayIDs, t.self)
	for _, endpoints := range t.endpoints {
		ids := make([]string, 0, len(endpoints))
		for id := range endpoints {
			ids = append(ids, id)
		}
		sort.Strings(ids)
		for i, id := range ids {
			if len(t.gatewayIDs) < 2 || isPreferred(i, len(ids), rank, len(t.gatewayIDs)) {
				out[id] = true
			}
		}
	}
	return out
}

// isPreferred reports whether a gateway prefers an endpoint, given the index of each
// and their numbers. Several gateways prefer the same endpoint if there are more
// gateways than endpoints.
func isPreferred(endpoint, endpoints, gateway, gateways int) bool {
	if gateways <= endpoints {
		return endpoint%gateways == gateway
	}
	return gateway%endpoints == endpoint
}
