package heartbeat

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/endpointload"
	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/lenient"
)

// replaceFields returns a function that replaces fields of a heartbeat, given as
// "field" or "from.field", by JSON values.
func replaceFields(values map[string]string) func(body []byte) []byte {
	return func(body []byte) []byte {
		var m, from map[string]json.RawMessage
		if json.Unmarshal(body, &m) != nil || json.Unmarshal(m["from"], &from) != nil {
			return body
		}
		for name, value := range values {
			if inFrom, ok := bytes.CutPrefix([]byte(name), []byte("from.")); ok {
				from[string(inFrom)] = json.RawMessage(value)
			} else {
				m[name] = json.RawMessage(value)
			}
		}
		if _, ok := values["from"]; !ok {
			m["from"], _ = json.Marshal(from)
		}
		out, _ := json.Marshal(m)
		return out
	}
}

// TestUnreadableHeartbeatsAreSignsOfLife guards against a gateway that runs and counts as
// dead because its peers can't read its heartbeats.
func TestUnreadableHeartbeatsAreSignsOfLife(t *testing.T) {
	damages := map[string]func([]byte) []byte{
		"row":               replaceFields(map[string]string{"rows": `["e -1 0 0 0"]`}),
		"sequence":          replaceFields(map[string]string{"from.seq": `"x"`}),
		"capacity":          replaceFields(map[string]string{"from.strength": `[]`}),
		"incarnation":       replaceFields(map[string]string{"from.inc": `7`}),
		"heartbeat address": replaceFields(map[string]string{"from.beat": `{}`}),
		"id":                replaceFields(map[string]string{"from.id": `7`}),
		"whole status":      replaceFields(map[string]string{"from": `[]`}),
		"every list":        replaceFields(map[string]string{"rows": `7`, "digests": `7`, "read": `7`, "quarantine": `7`, "word": `7`, "known": `7`}),
		"elements":          replaceFields(map[string]string{"digests": `[7, {"region":7}]`, "read": `[7]`, "request_limits": `[{"inc":"x"}]`}),
		"cut off":           func(body []byte) []byte { return body[:len(body)*3/4] },
		"not JSON":          func([]byte) []byte { return []byte("\x00\xff") },
		"not a JSON object": func([]byte) []byte { return []byte("[]") },
	}
	for name, damage := range damages {
		t.Run(name, func(t *testing.T) {
			forEachFleetSize(t, func(f *testFleet) {
				for _, i := range []int{0, len(f.nodes) - 1} {
					n := f.nodes[i]
					f.net.setRewrite(func(from string, body []byte) []byte {
						if from == n.address {
							return damage(body)
						}
						return body
					})
					before := refused.Value()
					for range 20 {
						time.Sleep(200 * time.Millisecond)
						require.Empty(f.t, f.viewMismatch())
					}
					require.Greater(f.t, refused.Value(), before, "the sender learns of it")
					f.net.setRewrite(nil)
					time.Sleep(time.Second)
				}
			})
		})
	}
}

// TestRestOfAnUnreadableHeartbeatCounts guards against losing the loads of all endpoints for
// one bad row, and against taking lost loads for none.
func TestRestOfAnUnreadableHeartbeatCounts(t *testing.T) {
	now := time.Now()
	c := newLargeHub(now)
	sender, ok := c.Gateways.Get("gw-north-1")
	require.True(t, ok)
	running := func(id string) int {
		c, ok := c.Loads.Candidate(endpointload.Query{ID: id, Service: "s"}, now)
		require.True(t, ok)
		return c.Running
	}
	c.Conn = newFakeNetwork().listen("10.0.0.9:1")
	receive := func(rows string) {
		sender.Seq++
		from, err := json.Marshal(sender)
		require.NoError(t, err)
		c.receiveDatagram(fmt.Appendf(nil, `{"from":%s,"rows":%s,"to_hub":true}`, from, rows), nil, now)
	}
	receive(`["new-a 2 0 0 0","new-b -1 0 0 0",7,"new-c 3 0 0 0"]`)
	require.Equal(t, []int{2, 0, 3}, []int{running("new-a"), running("new-b"), running("new-c")})
	receive(`7`)
	require.Equal(t, 2, running("new-a"), "loads that can't be read don't mean that there are none")
	receive(`[]`)
	require.Zero(t, running("new-a"))
}

// TestListWithABadEntryDoesNotCompleteLaterSummaries guards against gateways that drop out
// for as long as their region's list doesn't change.
func TestListWithABadEntryDoesNotCompleteLaterSummaries(t *testing.T) {
	alive := []fleet.CompactStatus{"a/1+", "b/1+"}
	m := Message{Summaries: []RegionSummary{{Region: "south", Alive: alive[:1], AliveHash: hashAlive(alive)}, {Region: "west", Alive: alive, AliveHash: hashAlive(alive)}}}
	m.complete(fleet.GatewayStatus{}, []lenient.Problem{{Path: "digests[0].alive[1]"}})
	lists := make(aliveLists)
	for _, s := range m.Summaries {
		got, ok := lists.complete(s)
		require.True(t, ok)
		require.Equal(t, s.Alive, got)
	}
	require.Empty(t, lists["south"])
	require.Len(t, lists["west"], 1)
}

// TestReportsOfUnreadableHeartbeatsAreLimited guards against two gateways that can't read
// each other's reports and answer each one, and against state that grows.
func TestReportsOfUnreadableHeartbeatsAreLimited(t *testing.T) {
	now := time.Now()
	u := make(unreadableSenders)
	require.True(t, u.mayReport("a", now))
	require.False(t, u.mayReport("a", now.Add(unreadableReportInterval-1)))
	require.True(t, u.mayReport("a", now.Add(unreadableReportInterval)))
	for i := range 2 * maxUnreadableSenders {
		u.mayReport(fmt.Sprint(i), now.Add(unreadableReportInterval))
	}
	require.Len(t, u, maxUnreadableSenders)
	require.True(t, u.mayReport("b", now.Add(2*unreadableReportInterval)))
	require.Len(t, u, 1)
}
