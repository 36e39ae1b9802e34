package grants

import (
	"math"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/allowance"
	"github.com/hickorystage/hickorystage/internal/lenient"
)

// fakeKeeper grants half of what is needed.
type fakeKeeper struct{ received chan CreditGrant }

func (k *fakeKeeper) AnswerCredit(ask CreditAsk) CreditGrant {
	return CreditGrant{Account: ask.Account, Gateway: "g2", AskedAt: ask.AskedAt, Leave: ask.Leave, Credit: ask.Need / 2, TTLMillis: 400, RetryAfterMillis: 70}
}

func (k *fakeKeeper) ReceiveCredit(g CreditGrant) { k.received <- g }

func TestCreditAsk(t *testing.T) {
	keeper := &fakeKeeper{received: make(chan CreditGrant, 1)}
	asker, _ := startWithKeeper(t, keeper)
	_, address := startWithKeeper(t, &fakeKeeper{})
	ask := CreditAsk{Account: "n1", Gateway: "g1", AskedAt: math.MaxInt64, Version: 7, PerSecond: 100, Burst: 50, Need: 30, First: 10, Ahead: 5, Returned: 2, UnansweredMillis: 800, Leave: true}
	require.NoError(t, asker.SendCreditAsk(address, ask))
	got := <-keeper.received
	require.Equal(t, CreditGrant{Account: "n1", Gateway: "g2", AskedAt: math.MaxInt64, Leave: true, Credit: 15, TTLMillis: 400, RetryAfterMillis: 70}, got)
	require.Equal(t, allowance.Grant{Credit: 15, TTL: 400 * time.Millisecond, RetryAfter: 70 * time.Millisecond}, got.Grant())
	require.Equal(t, allowance.Ask{Need: 30, First: 10, Ahead: 5, Returned: 2, Unanswered: 800 * time.Millisecond, Leave: true}, ask.Ask())
}

// TestInvalidCreditMessagesAreIgnored guards against numbers that would break the account
// of what was handed out.
func TestInvalidCreditMessagesAreIgnored(t *testing.T) {
	keeper := &fakeKeeper{received: make(chan CreditGrant, 1)}
	_, address := startWithKeeper(t, keeper)
	stray := listen(t)
	to, err := net.ResolveUDPAddr("udp", address)
	require.NoError(t, err)
	for _, text := range []string{
		`{"cq":{"t":"n1","g":"g1","r":0,"n":1}}`,
		`{"cq":{"t":"n1","g":"g1","r":5,"n":-1}}`,
		`{"cq":{"t":"n1","g":"g1","r":5,"x":-1}}`,
		`{"cq":{"t":"n1","g":"g1","r":5,"u":-1}}`,
		`{"cq":{"t":"","g":"g1","r":5}}`,
		`{"cq":{"t":"n1","r":5}}`,
		`{"ca":{"t":"n1","n":-1}}`,
		`{"ca":{"t":"n1","d":-1}}`,
		`{"ca":{"n":1}}`,
		`{"ca":{"t":"n1","n":3}}`,
	} {
		_, err := stray.WriteTo([]byte(text), to)
		require.NoError(t, err)
	}
	require.Equal(t, CreditGrant{Account: "n1", Credit: 3}, <-keeper.received, "only the last one is valid")
}

// TestUnreadableFieldOfAnAskCostsThatField guards against a gateway that gets no credit since
// one field of its asks can't be read.
func TestUnreadableFieldOfAnAskCostsThatField(t *testing.T) {
	_, address := startWithKeeper(t, &fakeKeeper{})
	stray := listen(t)
	to, err := net.ResolveUDPAddr("udp", address)
	require.NoError(t, err)
	_, err = stray.WriteTo([]byte(`{"cq":{"t":"n1","g":"g1","i":7,"r":5,"n":8,"a":"many"}}`), to)
	require.NoError(t, err)
	buffer := make([]byte, maxDatagramBytes)
	n, _, err := stray.ReadFrom(buffer)
	require.NoError(t, err)
	var m message
	require.Empty(t, lenient.Decode(buffer[:n], &m))
	require.InDelta(t, 4.0, m.CreditGrant.Credit, 0)
	require.NotNil(t, m.Unreadable, "the asking gateway is told")
}

// TestUnreadableStateOfCreditMessagesIsNotGuessed guards against an ask of a gateway that uses
// its own part of the limit and is taken for one that doesn't, and against a gateway that
// coordinates nothing and is taken for the coordinator.
func TestUnreadableStateOfCreditMessagesIsNotGuessed(t *testing.T) {
	keeper := &fakeKeeper{received: make(chan CreditGrant, 4)}
	_, address := startWithKeeper(t, keeper)
	stray := listen(t)
	to, err := net.ResolveUDPAddr("udp", address)
	require.NoError(t, err)
	for _, text := range []string{
		`{"cq":{"t":"n1","g":"g1","i":7,"r":5,"n":8,"u":"long"}}`,
		`{"cq":{"t":"n1","g":"g1","i":7,"r":5,"p":1}}`,
		`{"ca":{"t":"n1","g":"g2","s":"yes"}}`,
		`{"ca":{"t":"n1","g":"g2","c":7}}`,
		`{"cq":{"t":"n2","g":"g1","i":7,"r":5,"n":8}}`,
		`{"ca":{"t":"n2","g":"g2"}}`,
	} {
		_, err := stray.WriteTo([]byte(text), to)
		require.NoError(t, err)
	}
	buffer := make([]byte, maxDatagramBytes)
	n, _, err := stray.ReadFrom(buffer)
	require.NoError(t, err)
	var m message
	require.Empty(t, lenient.Decode(buffer[:n], &m))
	require.Equal(t, "n2", m.CreditGrant.Account, "only the last ask can be answered")
	require.Equal(t, "n2", (<-keeper.received).Account, "only the last response can be used")
}

func startWithKeeper(t *testing.T, keeper CreditKeeper) (*Controller, string) {
	return startWith(t, listen(t), &fakeCoordinator{}, func(c *Controller) { c.SetCreditKeeper(keeper) })
}
