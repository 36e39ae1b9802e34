package grants

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
	"gopkg.in/tomb.v2"
)

// fixedProver states one proof.
type fixedProver ProofResponse

func (p fixedProver) Prove() ProofResponse { return ProofResponse(p) }

// startProver runs a controller that states proofs and returns its address.
func startProver(t *testing.T, p Prover) string {
	conn := listen(t)
	c := New(conn, log.New(io.Discard))
	c.SetCoordinator(&fakeCoordinator{})
	c.SetProver(p)
	tb := new(tomb.Tomb)
	tb.Go(func() error { return c.Run(tb) })
	t.Cleanup(func() {
		tb.Kill(nil)
		require.NoError(t, tb.Wait())
	})
	return conn.LocalAddr().String()
}

func TestRequestProof(t *testing.T) {
	requester, _ := start(t, &fakeCoordinator{})
	_, silent := start(t, &fakeCoordinator{})
	var noResponse *NoResponseError
	_, err := requester.RequestProof(t.Context(), "g2", silent)
	require.ErrorAs(t, err, &noResponse, "a gateway without a prover doesn't answer")
	want := ProofResponse{Version: 7, Era: 2}
	want.SetAge(1500 * time.Millisecond)
	got, err := requester.RequestProof(t.Context(), "g2", startProver(t, fixedProver(want)))
	require.NoError(t, err, "a gateway that didn't answer is asked again")
	age, ok := got.Age()
	require.True(t, ok)
	require.Equal(t, 1500*time.Millisecond, age)
	require.EqualValues(t, 7, got.Version)
	require.EqualValues(t, 2, got.Era)
	require.Empty(t, requester.pending)
}

// TestResponsesToAnotherProcessProveNothing guards against a response that was on its way
// to a process that has ended: the request of its successor has the same id and was sent
// later than the age was stated.
func TestResponsesToAnotherProcessProveNothing(t *testing.T) {
	requester, _ := start(t, &fakeCoordinator{})
	var noResponse *NoResponseError
	_, err := requester.RequestProof(t.Context(), "g2", answerOnce(t, func(m message) string {
		return fmt.Sprintf(`{"n":%d,"fa":{"r":%d,"a":0,"v":1}}`, m.RequestID, m.ProofRequest.Nonce+1)
	}))
	require.ErrorAs(t, err, &noResponse)
}

// answerOnce answers one message by the function and returns its address.
func answerOnce(t *testing.T, answer func(m message) string) string {
	conn := listen(t)
	go func() {
		buffer := make([]byte, maxDatagramBytes)
		n, from, err := conn.ReadFrom(buffer)
		var m message
		if err != nil || json.Unmarshal(buffer[:n], &m) != nil {
			return
		}
		_, _ = conn.WriteTo([]byte(answer(m)), from)
	}()
	return conn.LocalAddr().String()
}

// TestDamagedProofsProveNothing guards against a response that counts as younger, or as one
// of another version, since one of its fields is missing or can't be read.
func TestDamagedProofsProveNothing(t *testing.T) {
	requester, _ := start(t, &fakeCoordinator{})
	for fields, sound := range map[string]bool{
		`"a":5,"v":7`: true, `"a":0,"v":7,"e":2`: true, `"a":5,"v":7,"other":[]`: true,
		``: false, `"a":5`: false, `"v":7`: false, `"a":null,"v":7`: false,
		`"a":"5","v":7`: false, `"a":1.5,"v":7`: false, `"a":1e30,"v":7`: false, `"a":5,"v":"7"`: false, `"a":5,"v":-7`: false,
		`"a":5,"v":7,"e":"x"`: false, `"a":-5,"v":7`: false, `"a":9000000000000000000,"v":7`: false,
	} {
		got, err := requester.RequestProof(t.Context(), "g2", answerOnce(t, func(m message) string {
			return strings.Replace(fmt.Sprintf(`{"n":%d,"fa":{"r":%d,%s}}`, m.RequestID, m.ProofRequest.Nonce, fields), ",}", "}", 1)
		}))
		_, ok := got.Age()
		require.Equal(t, sound, err == nil && ok, fields)
	}
}

func TestAgesAreRoundedUp(t *testing.T) {
	for age, micros := range map[time.Duration]int64{0: 0, 1: 1, time.Microsecond: 1, 1001: 2} {
		var r ProofResponse
		r.SetAge(age)
		require.Equal(t, micros, *r.AgeMicros)
	}
	for _, age := range []time.Duration{-1, 2 * time.Hour} {
		r := ProofResponse{Version: 1}
		r.SetAge(age)
		_, ok := r.Age()
		require.False(t, ok)
	}
}

// TestProofDatagramsAreSmall guards against messages that would cost a large region more
// than a few kilobytes a second for each gateway.
func TestProofDatagramsAreSmall(t *testing.T) {
	r := ProofResponse{Nonce: 1 << 63, Version: 1 << 40, Era: 1 << 20}
	r.SetAge(maxProofAge)
	for _, m := range []message{{RequestID: 1 << 40, ProofRequest: &ProofRequest{Nonce: 1 << 63}}, {RequestID: 1 << 40, ProofResponse: &r}} {
		body, err := json.Marshal(m)
		require.NoError(t, err)
		require.Less(t, len(body), 160)
	}
}
