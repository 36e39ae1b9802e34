//go:build !race

package app

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/intent"
	"github.com/hickorystage/hickorystage/internal/standin/caller"
	"github.com/hickorystage/hickorystage/internal/standin/fault"
)

// faultKind is a kind of fault of the matrix.
type faultKind string

const (
	requestLost faultKind = "request_lost"
	answerLost  faultKind = "answer_lost"
	late        faultKind = "late"
	twice       faultKind = "twice"
	killed      faultKind = "killed"
	paused      faultKind = "paused"
	partition   faultKind = "partition"
	storeDown   faultKind = "store_down"
	storeSlow   faultKind = "store_slow"
	silent      faultKind = "silent"
	racing      faultKind = "racing_operators"
)

var (
	environmentFaults = []faultKind{killed, paused, partition, storeDown, storeSlow, silent, racing}
	messageFaults     = []faultKind{requestLost, answerLost, late, twice}
)

// kindsAt are the faults that can strike a step: those of messages strike
// steps that wait for another process.
func kindsAt(s Step) []faultKind {
	if s.Remote {
		return append(append([]faultKind{}, environmentFaults...), messageFaults...)
	}
	return environmentFaults
}

type cell struct {
	protocol Protocol
	step     string
	kind     faultKind
}

// proof is a test of another package that covers a cell.
type proof struct{ file, test string }

var (
	provedByActions  = proof{"../action/matrix_test.go", "TestMatrix"}
	provedByPublish  = proof{"../intent/publish/publish_test.go", "TestEachFaultAtEachStep"}
	provedByRacers   = proof{"../intent/publish/publish_test.go", "TestRacingOperatorsUnderFaults"}
	provedByKilled   = proof{"../command/command_test.go", "TestKilledApplyIsResumed"}
	provedByConfig   = proof{"../controller/configsync/configsync_test.go", "TestInForceUnderStoreFaults"}
	provedByIsolated = proof{"../controller/configsync/configsync_test.go", "TestIsolatedRegion"}
	provedByNoStore  = proof{"../controller/configsync/configsync_test.go", "TestStartWithoutTheStore"}
	provedByRelay    = proof{"../relay/fault_test.go", "TestFaultIsResumedElsewhere"}
	provedByRepeats  = proof{"../relay/fault_test.go", "TestRepeatedChunkIsLeftOut"}
	provedByOnce     = proof{"../relay/call_test.go", "TestEachAttemptIsSentOnce"}
	provedByExchange = proof{"../membership/spread_test.go", "TestSuspicionSpreadsAndIsRefuted"}
	provedByMembers  = proof{"../membership/membership_test.go", "TestSilentPeersAreNotCountedOnAndThenForgotten"}
	provedByOrder    = proof{"../membership/membership_test.go", "TestRegionSummariesKeepTheFresher"}
	provedByRegister = proof{"../controller/register/register_test.go", "TestRegistrationUnderFaults"}
	provedByVirtual  = proof{"isolation_test.go", "TestConfigurationIsInForceEverywhereWithinNineSeconds"}
	provedBySilence  = proof{"isolation_test.go", "TestSilentConnectionsAreReplaced"}
	provedByCutOff   = proof{"isolation_test.go", "TestCutOffRegionServesAndRejoins"}
	provedByLoops    = proof{"../gateway/residency_test.go", "TestChatsKeepResidencyAndDontLoop"}
)

// elsewhere names the proofs in other tests.
func elsewhere() map[cell]proof {
	out := map[cell]proof{}
	add := func(p Protocol, step string, by proof, kinds ...faultKind) {
		for _, k := range kinds {
			out[cell{p, step, k}] = by
		}
	}
	for _, s := range Steps() {
		switch s.Protocol {
		case ProtocolAction:
			add(s.Protocol, s.Name, provedByActions, requestLost, answerLost, late, twice, killed, paused, partition, storeDown, storeSlow)
		case ProtocolPublish:
			add(s.Protocol, s.Name, provedByPublish, requestLost, answerLost, late, storeDown, storeSlow)
			add(s.Protocol, s.Name, provedByRacers, racing, twice)
			add(s.Protocol, s.Name, provedByKilled, killed)
		case ProtocolConfig:
			add(s.Protocol, s.Name, provedByConfig, requestLost, answerLost, late, storeSlow, silent)
			add(s.Protocol, s.Name, provedByIsolated, partition)
			add(s.Protocol, s.Name, provedByNoStore, storeDown)
			add(s.Protocol, s.Name, provedByVirtual, racing)
		case ProtocolExchange:
			add(s.Protocol, s.Name, provedByExchange, requestLost, answerLost, paused)
			add(s.Protocol, s.Name, provedByMembers, killed)
			add(s.Protocol, s.Name, provedByOrder, late, twice)
			add(s.Protocol, s.Name, provedByCutOff, partition, storeDown)
			add(s.Protocol, s.Name, provedBySilence, silent)
		case ProtocolDrain:
			if s.Remote {
				add(s.Protocol, s.Name, provedByActions, requestLost, answerLost, late, twice)
			}
		case ProtocolChat, ProtocolForward:
			add(s.Protocol, s.Name, provedByRepeats, twice)
		}
	}
	add(ProtocolDrain, "deregister", provedByRegister, requestLost, answerLost)
	add(ProtocolChat, "dial", provedByOnce, twice)
	add(ProtocolForward, "send", provedByLoops, twice)
	for _, step := range []string{"first_token", "mid_stream", "end"} {
		add(ProtocolChat, step, provedByRelay, requestLost, answerLost, late)
	}
	for _, step := range []string{"accept", "mid_stream", "end"} {
		add(ProtocolForward, step, provedByRelay, requestLost, answerLost, late)
	}
	return out
}

// notProved lists the cells that no test strikes, with the reason.
func notProved() map[cell]string {
	out := map[cell]string{}
	for _, s := range Steps() {
		switch s.Protocol {
		case ProtocolAction:
			out[cell{s.Protocol, s.Name, silent}] = "struck by internal/action/dispatch TestSilentConnectionsDoNotMatter at the send only"
			out[cell{s.Protocol, s.Name, racing}] = "no configuration is published during an action"
		case ProtocolPublish:
			for _, k := range []faultKind{paused, partition, silent} {
				out[cell{s.Protocol, s.Name, k}] = "struck only as a lost or late call on the store"
			}
		case ProtocolConfig:
			for _, k := range []faultKind{killed, paused, twice} {
				out[cell{s.Protocol, s.Name, k}] = "a gateway that starts or wakes is tested, not one struck at this step"
			}
		case ProtocolExchange:
			for _, k := range []faultKind{storeSlow, racing} {
				out[cell{s.Protocol, s.Name, k}] = "exchanges do not touch the store"
			}
		case ProtocolDrain:
			if s.Name == "deregister" {
				out[cell{s.Protocol, s.Name, late}] = "a late removal is struck only as a slow directory"
				out[cell{s.Protocol, s.Name, twice}] = "a repeated removal is not struck"
			}
		case ProtocolChat, ProtocolForward:
		}
	}
	return out
}

// offsets say when a step of a course is reached, from the caller's request.
// The engines' first token comes after 50 ms, the others every 20 ms.
var offsets = map[Protocol]map[string]time.Duration{
	ProtocolChat: {
		"admit": 0, "decide": time.Millisecond, "dial": 2 * time.Millisecond, "header": 20 * time.Millisecond,
		"first_token": 51 * time.Millisecond, "mid_stream": 130 * time.Millisecond, "end": 225 * time.Millisecond,
	},
	ProtocolForward: {
		"send": 10 * time.Millisecond, "accept": 112 * time.Millisecond,
		"mid_stream": 240 * time.Millisecond, "end": 335 * time.Millisecond,
	},
	ProtocolDrain: {
		"deregister": 0, "refuse": 20 * time.Millisecond, "finish": 130 * time.Millisecond,
		"seal": 4020 * time.Millisecond, "hand_over": 4025 * time.Millisecond,
	},
}

// outageTime is how long pauses, cuts and outages last: longer than every limit on
// silence, shorter than a request's deadline.
const outageTime = 8 * time.Second

// victim is what a fault strikes: an engine or a gateway.
type victim struct{ address, id, region string }

// strike lets a fault happen now. What can end ends by itself after outageTime.
func (w *world) strike(k faultKind, v victim) {
	later := func(fn func()) { time.AfterFunc(outageTime, fn) }
	slow := fault.Setting{Kind: fault.Delay, DelayMillis: 2500}
	switch k {
	case requestLost, answerLost, late:
		setting := fault.Setting{Kind: fault.DropRequest, Path: "/v1/chat", Count: 1}
		if k == answerLost {
			setting.Kind = fault.DropResponse
		}
		if k == late {
			setting = fault.Setting{Kind: fault.Delay, Path: "/v1/chat", Count: 1, DelayMillis: 3000}
		}
		require.NoError(w.t, w.engines["engine-svealand"].Faults.Set(setting))
	case killed:
		if n := w.nodes[v.id]; n != nil {
			go w.crashNow(n)
			return
		}
		w.kill(v.address)
	case paused:
		w.net.Freeze(v.id)
		later(func() { w.net.Thaw(v.id) })
	case partition:
		w.cutOff(v.region)
		later(func() { w.heal(v.region) })
	case storeDown:
		require.NoError(w.t, w.store.Faults.Set(fault.Setting{Kind: fault.DropRequest}))
		later(w.store.Faults.Reset)
	case storeSlow:
		require.NoError(w.t, w.store.Faults.Set(slow))
		later(w.store.Faults.Reset)
	case silent:
		w.net.SilenceTo(v.address)
		w.net.SilenceTo(storeAddress)
		w.net.SilenceTo(directoryAddress)
	case racing:
		for i := range 2 {
			go w.publish(intent.File{Name: fmt.Sprintf("7%d-race.yaml", i), Content: fmt.Appendf(nil, "routing: {retry_ratio: 0.%d}\n", i+3)})
		}
	case twice:
	}
}

// crashNow is crash for a goroutine of its own; the map of nodes is left alone.
func (w *world) crashNow(n *node) {
	w.net.Kill(n.id)
	n.cancel()
	close(n.hurry)
}

var (
	svealandEngine = victim{address: "10.1.0.1:80", id: "10.1.0.1:80", region: svealand}
	entryGateway   = victim{address: "10.9.0.1:8001", id: "gw1-svealand", region: svealand}
)

// requireWholeOrSaid checks an answer: whole and right, or a typed refusal, or
// an explicit end of a stream. A caller's connection breaks only with its gateway.
func requireWholeOrSaid(t *testing.T, name, want string, s *caller.Stream, err error, mayBreak bool) {
	t.Helper()
	if err == nil {
		require.Equal(t, want, s.Text, "%s: [DONE] only after the whole answer", name)
		return
	}
	if s != nil {
		require.True(t, strings.HasPrefix(want, s.Text), "%s: no foreign or doubled token: %q", name, s.Text)
	}
	switch e := err.(type) {
	case *caller.StatusError:
		require.Contains(t, e.Body, `"outcome"`, name)
	case *caller.BrokenStreamError:
		require.True(t, mayBreak || e.Event != "", "%s: the stream ended without a word", name)
	default:
		require.True(t, mayBreak, "%s: %v", name, err)
	}
}

// runChatCell strikes faults during a chat through gw1-svealand. mustBeWhole says
// that the answer has to come whole in spite of them.
func runChatCell(t *testing.T, name string, strikes []strikeAt, mustBeWhole bool) {
	synctest.Test(t, func(t *testing.T) {
		w := standard(t)
		defer w.close()
		// A region that has just been heard of takes its traffic in steps.
		time.Sleep(30 * time.Second)
		c := w.client(w.node("gw1-svealand"), "demo-key-svealand")
		want, err := c.Stream(context.Background(), chatBody("matrix"))
		require.NoError(t, err)
		mayBreak := false
		for _, s := range strikes {
			mayBreak = mayBreak || s.victim == entryGateway && (s.kind == killed || s.kind == paused)
			if slices.Contains(messageFaults, s.kind) {
				// A message's fault is set before the message is sent.
				s.at = 0
			}
			time.AfterFunc(s.at, func() { w.strike(s.kind, s.victim) })
		}
		time.Sleep(time.Microsecond)
		start := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
		defer cancel()
		s, err := c.Stream(ctx, chatBody("matrix"))
		requireWholeOrSaid(t, name, want.Text, s, err, mayBreak)
		if mustBeWhole {
			require.NoError(t, err, name)
		}
		require.Less(t, time.Since(start), 46*time.Second, "%s: answered by its deadline", name)
		w.requireRecovered(name, want.Text)
	})
}

// requireRecovered checks that callers are served whole soon after the faults.
func (w *world) requireRecovered(name, want string) {
	w.t.Helper()
	time.Sleep(2 * outageTime)
	w.engines["engine-svealand"].Faults.Reset()
	c := w.client(w.node("gw2-svealand"), "demo-key-svealand")
	s, err := c.Stream(context.Background(), chatBody("matrix"))
	require.NoError(w.t, err, "%s: recovered", name)
	require.Equal(w.t, want, s.Text, name)
}

type strikeAt struct {
	at     time.Duration
	kind   faultKind
	victim victim
}

// runForwardCell strikes a fault during a chat that norrland sends to svealand.
func runForwardCell(t *testing.T, name string, strikes []strikeAt) {
	synctest.Test(t, func(t *testing.T) {
		w := standard(t)
		defer w.close()
		w.removeEngine(norrland, "10.1.0.2:80")
		time.Sleep(15 * time.Second)
		c := w.client(w.node("gw3-norrland"), "demo-key-norrland")
		want, err := c.Stream(context.Background(), chatBody("matrix"))
		require.NoError(t, err)
		for _, s := range strikes {
			time.AfterFunc(s.at, func() { w.strike(s.kind, s.victim) })
		}
		s, err := c.Stream(context.Background(), chatBody("matrix"))
		requireWholeOrSaid(t, name, want.Text, s, err, false)
		require.Zero(t, w.engines["engine-gotaland"].Stats().Attempts, "%s: norrland's customers stay out of gotaland", name)
		w.requireRecovered(name, want.Text)
	})
}

// runDrainCell strikes a fault while gw1-svealand stops with a chat and the
// record of a booking.
func runDrainCell(t *testing.T, name string, s strikeAt) {
	synctest.Test(t, func(t *testing.T) {
		w := standard(t)
		defer w.close()
		owner := w.node("gw1-svealand")
		one := w.client(owner, "demo-key-svealand")
		two := w.client(w.node("gw2-svealand"), "demo-key-svealand")
		// The chat takes four seconds, longer than the gateway lingers.
		chat := chatBody("matrix")
		chat.MaxTokens = 200
		want, err := two.Stream(context.Background(), chat)
		require.NoError(t, err)
		tickets := w.entries(one).Tickets
		key := tickets.Key(tickets.First)
		require.Equal(t, http.StatusOK, w.book(one, key).Status)
		streamed := make(chan error, 1)
		go func() {
			s, err := one.Stream(context.Background(), chat)
			if err == nil && s.Text != want.Text {
				err = &caller.BrokenStreamError{Event: s.Text}
			}
			streamed <- err
		}()
		time.Sleep(10 * time.Millisecond)
		time.AfterFunc(s.at, func() { w.strike(s.kind, s.victim) })
		stopped := w.stop(owner)
		err = <-streamed
		if s.victim != entryGateway || s.kind != killed && s.kind != paused {
			require.NoError(t, err, "%s: a stop cuts nothing off", name)
			require.NoError(t, stopped, name)
		}
		time.Sleep(2 * outageTime)
		a := w.book(two, key)
		if a.Status != http.StatusOK {
			require.Equal(t, failure.Unknown, refusalOf(t, a).Outcome, "%s: never not_run: %s", name, a.Body)
		}
		require.Equal(t, 1, w.executions(), name)
	})
}

// runCell strikes one fault at one step. It returns false when the matrix has no
// course for the cell.
func runCell(t *testing.T, s Step, k faultKind) bool {
	at, ok := offsets[s.Protocol][s.Name]
	if !ok {
		return false
	}
	name := fmt.Sprintf("%s/%s/%s", s.Protocol, s.Name, k)
	switch s.Protocol {
	case ProtocolChat:
		runChatCell(t, name, []strikeAt{{at, k, svealandEngine}}, true)
		if k == killed || k == paused || k == silent {
			runChatCell(t, name+" of the gateway", []strikeAt{{at, k, entryGateway}}, false)
		}
	case ProtocolForward:
		v := victim{address: "10.9.0.1:8001", id: "gw1-svealand", region: svealand}
		runForwardCell(t, name, []strikeAt{{at, k, v}})
		if k == killed || k == paused || k == silent {
			v = victim{address: "10.9.0.2:8001", id: "gw2-svealand", region: svealand}
			if k != killed {
				runForwardCell(t, name+" of the other gateway", []strikeAt{{at, k, v}})
			}
			runForwardCell(t, name+" of the engine", []strikeAt{{at, k, victim{address: "10.1.0.1:80", id: "10.1.0.1:80", region: svealand}}})
		}
	case ProtocolDrain:
		runDrainCell(t, name, strikeAt{at, k, entryGateway})
		if k == killed || k == paused {
			runDrainCell(t, name+" of the engine's region", strikeAt{at, paused, victim{id: "gw4-norrland", region: norrland}})
		}
	case ProtocolAction, ProtocolConfig, ProtocolPublish, ProtocolExchange:
		return false
	}
	return true
}

// TestFaultMatrix strikes each fault at each step, or names the test that does,
// or the reason why none does.
func TestFaultMatrix(t *testing.T) {
	proofs, excuses := elsewhere(), notProved()
	tally := map[string]int{}
	for _, s := range Steps() {
		requireFunc(t, "../../"+s.File, s.Func)
		for _, k := range kindsAt(s) {
			c := cell{s.Protocol, s.Name, k}
			by, named := proofs[c]
			_, excused := excuses[c]
			switch {
			case named:
				requireFunc(t, by.file, by.test)
				tally["proved by another test"]++
			case excused:
				tally["not proved"]++
			case runCell(t, s, k):
				tally["struck here"]++
			default:
				t.Errorf("%+v has neither a proof nor a line in notProved", c)
			}
		}
	}
	t.Log(tally)
}

// requireFunc checks that a source file has a function.
func requireFunc(t *testing.T, file, name string) {
	t.Helper()
	source, err := os.ReadFile(file)
	require.NoError(t, err)
	require.Regexp(t, `(?m)^func (\([^)]*\) )?`+name+`\(`, string(source), "%s has no %s", file, name)
}

// TestFaultMatrixPairs strikes a sample of pairs of faults, by a fixed seed,
// during chats. Nothing need come whole then, but all of it is said.
func TestFaultMatrixPairs(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	kinds := append(append([]faultKind{}, environmentFaults...), requestLost, answerLost, late)
	draw := func() strikeAt {
		v := svealandEngine
		if rnd.IntN(3) == 0 {
			v = entryGateway
		}
		return strikeAt{time.Duration(rnd.IntN(240)) * time.Millisecond, kinds[rnd.IntN(len(kinds))], v}
	}
	for range 15 {
		pair := []strikeAt{draw(), draw()}
		if pair[0] == pair[1] || pair[0].kind == killed && pair[1].kind == killed {
			continue
		}
		runChatCell(t, fmt.Sprintf("%+v", pair), pair, false)
	}
}
