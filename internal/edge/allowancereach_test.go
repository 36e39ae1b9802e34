package edge

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/account"
	"github.com/hickorystage/hickorystage/internal/controller/grants"
	"github.com/hickorystage/hickorystage/internal/fleet"
)

// TestPartsOfDataCentresThatDontAnswerAreKeptBack guards against a coordinator that hands out
// the parts of gateways which it hears and which don't hear it.
func TestPartsOfDataCentresThatDontAnswerAreKeptBack(t *testing.T) {
	e := newCluster(t, "north").regions["north"].edge
	k := e.allowances
	require.True(t, e.Gateways.MayCoordinate(time.Now()))
	hear := func(id, incarnation, dataCentre string) {
		status := fleet.GatewayStatus{Gateway: fleet.Gateway{ID: id, Incarnation: incarnation, Region: "south", DataCentre: dataCentre, GrantAddress: id + ":7"}, Ready: true}
		require.True(t, e.Gateways.ApplyStatus(status, time.Now()))
		k.view = nil
	}
	for i := range 3 {
		hear(fmt.Sprint("a-", i), "1", "south-a")
	}
	hear("b-0", "1", "south-b")
	begin, realNow, name := k.now(), time.Now(), "n1"
	a, c := limitedTestAccount(name, "k1", account.Allowance{RatePerSecond: 1, Burst: 1}), k.coordinate(name, begin, realNow)
	probe := func(after time.Duration) []string {
		var asked []string
		for _, ask := range k.probeDataCentres(a, begin.Add(after), realNow) {
			require.True(t, ask.ask.Probe)
			asked = append(asked, ask.to.address)
		}
		return asked
	}
	share := func(after time.Duration) float64 { return k.share(name, c, begin.Add(after), realNow) }

	require.Len(t, probe(0), maxReachProbes+1)
	require.InDelta(t, 1, share(reachTimeout-time.Millisecond), 1e-9)
	e.ReceiveCredit(grants.CreditGrant{Account: name, Gateway: "b-0", Probe: true, Starting: true})
	require.Len(t, probe(reachTimeout), maxReachProbes, "one data centre has answered")
	require.InDelta(t, 2.0/5, share(reachTimeout), 1e-9)

	e.ReceiveCredit(grants.CreditGrant{Account: "n1", Gateway: "a-1", Probe: true, Starting: true})
	require.Empty(t, probe(2*reachTimeout))
	require.InDelta(t, 1, share(2*reachTimeout), 1e-9)

	hear("b-0", "2", "south-b")
	require.Equal(t, []string{"b-0:7"}, probe(3*reachTimeout), "it has started again")
	require.InDelta(t, 4.0/5, share(4*reachTimeout), 1e-9)
	e.AnswerCredit(grants.CreditAsk{Account: "n1", Gateway: "b-0", PerSecond: 1, Burst: 1})
	require.Empty(t, probe(4*reachTimeout), "a gateway that asks for credit hears this one")
	hear("b-0", "3", "south-b")
	require.NotEmpty(t, probe(5*reachTimeout))
	require.Empty(t, k.probeDataCentres(nil, begin, realNow), "this gateway coordinates nothing")
	require.False(t, k.reach.isUnanswered("south-b", begin.Add(6*reachTimeout)))
}
