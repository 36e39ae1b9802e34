package edge

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorystage/hickorystage/internal/controller/grants"
	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/streamversion"
)

// begin sends streams to a gateway until an endpoint of the version begins one, and returns the
// attempt's id.
func (f *streamFleet) begin(id, version string) string {
	for i := 0; ; i++ {
		attempt := fmt.Sprintf("%s-%d", id, i)
		got := f.regions[id].call(http.MethodPost, "/s/", "", map[string]string{headerID: attempt})
		if requireOneVersion(f.t, got.body) == version {
			return attempt
		}
	}
}

// silence makes a gateway hear no other for longer than it takes them for alive.
func (f *streamFleet) silence(id string) {
	e := f.regions[id].edge
	e.Gateways = fleet.NewGateways(e.Gateways.Self(), time.Now().Add(-time.Minute))
	for other := range f.regions {
		if other != id {
			e.Gateways.ApplyStatus(f.status(other), time.Now().Add(-2*fleet.SilenceTimeout))
		}
	}
}

// TestGatewayOutOfStepJoinsNoVersions guards against streams of a new version that go on at the old
// one, since a gateway that was cut off from the others, or stood still, takes that for the only
// one while they were begun elsewhere.
func TestGatewayOutOfStepJoinsNoVersions(t *testing.T) {
	const outOfStep, other = "gw-north-0", "gw-north-1"
	for name, c := range map[string]struct {
		// isCut says that no gateway answers the one out of step, hasStoodStill that it has heard
		// nobody for a while.
		isCut, hasStoodStill bool
		// isNamed says that the caller names the attempt that began the stream.
		isNamed bool
		// isRecordLost says that no gateway has the record of the stream.
		isRecordLost bool
		// takenUpAt is where the caller takes the stream up.
		takenUpAt string
	}{
		"cut off":                             {isCut: true, isNamed: true, takenUpAt: outOfStep},
		"cut off, without an attempt":         {isCut: true, takenUpAt: outOfStep},
		"stood still":                         {hasStoodStill: true, isNamed: true, takenUpAt: outOfStep},
		"stood still and cut off":             {hasStoodStill: true, isCut: true, isNamed: true, takenUpAt: outOfStep},
		"stood still, without an attempt":     {hasStoodStill: true, takenUpAt: outOfStep},
		"stood still, the record is lost":     {hasStoodStill: true, isNamed: true, takenUpAt: outOfStep, isRecordLost: true},
		"another one asks it, record is lost": {hasStoodStill: true, isNamed: true, takenUpAt: other, isRecordLost: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newStreamFleet(t, 3)
			endpoints := f.startVersions("v1", "v2")
			f.followForLong()
			f.setVersions(endpoints, "v1")
			f.setVersionsExcept(outOfStep, endpoints, "v1", "v2")
			attempt := f.begin(other, "v2")
			f.regions[other].edge.tellStreams(time.Now())
			for id, r := range f.regions {
				if c.isRecordLost || id == outOfStep {
					r.edge.Streams = streamversion.NewRecords()
				}
			}
			if c.hasStoodStill {
				f.silence(outOfStep)
			}
			if c.isCut {
				for id := range f.regions {
					if id != outOfStep {
						f.network.set(id, nil)
					}
				}
			}
			resumes := ""
			if c.isNamed {
				resumes = attempt
			}
			got := f.regions[c.takenUpAt].takeUp("again", resumes, 2)
			require.NotContains(t, got.body, "data: v1", "status %d", got.status)
			if c.isCut {
				require.Equal(t, http.StatusServiceUnavailable, got.status)
				require.NotEmpty(t, got.header.Get("Retry-After"), "the others may know")
			}
		})
	}
}

func TestCollectStreamAnswers(t *testing.T) {
	type versions = streamversion.ServiceVersions
	unknown, several, current := versions{}, versions{HasSeveral: true}, func(v string) versions { return versions{Current: v} }
	sole := func(v string) versions { return versions{Sole: v, Current: v} }
	answer := func(version string, known versions, isLocal bool) streamAnswer {
		return streamAnswer{response: grants.StreamResponse{Version: version, ServiceVersions: known}, isLocal: isLocal}
	}
	silent := errors.New("no response")
	for name, c := range map[string]struct {
		answers       []streamAnswer
		local, remote int
		own           versions
		isAlone       bool
		want          string
		wantAll       bool
	}{
		"there is nobody else":               {nil, 0, 0, sole("v1"), true, "v1", true},
		"nobody is heard":                    {nil, 0, 0, sole("v1"), false, "", false},
		"a record goes before a sole":        {[]streamAnswer{answer("", sole("v1"), true), answer("v2", sole("v1"), true)}, 2, 0, sole("v1"), false, "v2", true},
		"other regions aren't waited for":    {[]streamAnswer{answer("", current("v1"), true)}, 1, 5, sole("v1"), false, "v1", true},
		"an earlier build agrees":            {[]streamAnswer{answer("", versions{Sole: "v1"}, true)}, 1, 5, sole("v1"), false, "v1", true},
		"another region is waited for":       {[]streamAnswer{answer("", unknown, true), answer("", sole("v1"), false)}, 1, 1, sole("v1"), false, "v1", true},
		"nobody agrees":                      {[]streamAnswer{answer("", unknown, true), answer("", unknown, false)}, 1, 1, sole("v1"), false, "", true},
		"a sole version of another region":   {[]streamAnswer{answer("", unknown, true), answer("", sole("v1"), false)}, 1, 1, current("v1"), false, "v1", true},
		"two others agree":                   {[]streamAnswer{answer("", current("v1"), true), answer("", sole("v1"), false)}, 1, 1, unknown, false, "v1", true},
		"no sole but current versions":       {[]streamAnswer{answer("", current("v1"), true), answer("", current("v1"), false)}, 1, 1, current("v1"), false, "", true},
		"the only sole is that of another":   {[]streamAnswer{answer("", sole("v1"), true)}, 1, 0, unknown, false, "", true},
		"two sole versions":                  {[]streamAnswer{answer("", sole("v1"), true), answer("", sole("v2"), true)}, 2, 0, unknown, false, "", true},
		"two sole versions and a record":     {[]streamAnswer{answer("", sole("v1"), true), answer("", sole("v2"), true), answer("v2", unknown, false)}, 2, 1, unknown, false, "v2", true},
		"another current version":            {[]streamAnswer{answer("", current("v2"), true), answer("", sole("v1"), true)}, 2, 0, sole("v1"), false, "", true},
		"others know of several":             {[]streamAnswer{answer("", several, true), answer("", sole("v1"), true)}, 2, 0, sole("v1"), false, "", true},
		"this gateway knows of several":      {[]streamAnswer{answer("", sole("v1"), true), answer("", sole("v1"), true)}, 2, 0, several, false, "", true},
		"a silent gateway":                   {[]streamAnswer{{err: silent}}, 0, 1, unknown, false, "", false},
		"a silent gateway and a sole":        {[]streamAnswer{{err: silent, isLocal: true}}, 1, 0, sole("v1"), false, "", false},
		"a silent gateway of the region":     {nil, 1, 0, sole("v1"), false, "", false},
		"a silent gateway and one of two":    {[]streamAnswer{{err: silent, isLocal: true}, answer("", current("v1"), true)}, 2, 0, sole("v1"), false, "v1", false},
		"one of two has not answered so far": {[]streamAnswer{answer("", current("v1"), true)}, 2, 0, sole("v1"), false, "v1", false},
	} {
		t.Run(name, func(t *testing.T) {
			answers := make(chan streamAnswer, len(c.answers))
			for _, a := range c.answers {
				answers <- a
			}
			ctx, cancel := context.WithTimeout(t.Context(), remoteStreamWait)
			defer cancel()
			got, all := collectStreamAnswers(ctx, answers, c.local, c.remote, c.own, c.isAlone)
			require.Equal(t, c.want, got)
			require.Equal(t, c.wantAll, all)
		})
	}
}
