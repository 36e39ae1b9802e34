package soak

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/hickorystage/hickorystage/platform/platformtest"
)

// journal is what happened in a run: what callers sent and got, what operators
// did, and when which faults struck.
type journal struct {
	mu         sync.Mutex
	calls      []*call
	versions   []version
	disturbed  []span
	findings   []string
	violations int
}

// call is one attempt of a caller.
type call struct {
	platformtest.ClientRequest
	gateway string
	sent    time.Time
	ended   time.Time
	reply   platformtest.ClientResponse
	err     error
}

// version is one configuration, and the service that the moved route leads to.
type version struct {
	service string
	acked   time.Time
}

// span is a time in which a fault struck; a zero end means that it lasts.
type span struct {
	what     string
	gateway  string
	from, to time.Time
	// planned faults are stops and reloads that operators ask for.
	planned bool
}

func newJournal() *journal { return &journal{} }

func (j *journal) add(c *call) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.calls = append(j.calls, c)
}

func (j *journal) configured(service string, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.versions = append(j.versions, version{service: service, acked: at})
}

// begin notes that a fault strikes and returns what ends it. gateway is empty
// for faults that strike more than one.
func (j *journal) begin(what, gateway string, planned bool) func() {
	j.mu.Lock()
	defer j.mu.Unlock()
	i := len(j.disturbed)
	j.disturbed = append(j.disturbed, span{what: what, gateway: gateway, from: time.Now(), planned: planned})
	return func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		j.disturbed[i].to = time.Now()
	}
}

// calm says whether no unplanned fault struck from contact before one time to
// another, and no planned one other than those of the named gateway.
func (j *journal) calm(from, to time.Time, gateway string) bool {
	from = from.Add(-contact)
	for _, s := range j.disturbed {
		if s.planned && s.gateway == gateway {
			continue
		}
		if s.from.Before(to) && (s.to.IsZero() || s.to.After(from)) {
			return false
		}
	}
	return true
}

// found notes a broken promise.
func (j *journal) found(format string, args ...any) {
	j.violations++
	if len(j.findings) < maxFindings {
		j.findings = append(j.findings, fmt.Sprintf(format, args...))
	}
}

// maxFindings bounds what a run reports.
const maxFindings = 20

// timeline returns the faults of the run.
func (j *journal) timeline(start time.Time) string {
	j.mu.Lock()
	defer j.mu.Unlock()
	var b strings.Builder
	for _, s := range j.disturbed {
		fmt.Fprintf(&b, "%7.2f to %7.2f  %s %s\n", s.from.Sub(start).Seconds(), s.to.Sub(start).Seconds(), s.what, s.gateway)
	}
	return b.String()
}

// check compares what callers got with what endpoints ran.
func (j *journal) check(all []*worker) {
	j.mu.Lock()
	defer j.mu.Unlock()
	runs := make(map[string][]ran)
	for _, e := range all {
		for _, r := range e.Executions() {
			runs[r.AttemptID] = append(runs[r.AttemptID], ran{Execution: r, endpoint: e})
		}
	}
	known := make(map[string]*call, len(j.calls))
	for _, c := range j.calls {
		known[c.AttemptID] = c
		j.checkCall(c, runs[c.AttemptID])
	}
	for id, list := range runs {
		c, ok := known[id]
		if !ok {
			j.found("endpoint %s ran request %q that nobody sent", list[0].endpoint.ID(), id)
			continue
		}
		for _, r := range list {
			j.checkRun(c, r)
		}
	}
}

// ran is one run with its endpoint.
type ran struct {
	platformtest.Execution
	endpoint *worker
}

func (j *journal) checkCall(c *call, runs []ran) {
	once := strings.HasPrefix(c.Target, bookPath)
	if once && len(runs) > 1 {
		j.found("%s ran %d times", c.name(), len(runs))
	}
	switch status := c.reply.Status; {
	case status == 0 || c.err != nil:
		j.checkLost(c, runs)
	case status < http.StatusMultipleChoices:
		j.checkAnswer(c)
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable ||
		status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest:
		if once && len(runs) > 0 {
			j.found("%s was refused with %d and ran at %s", c.name(), status, runs[0].endpoint.ID())
		}
	case status < http.StatusInternalServerError:
		j.found("%s was denied with %d", c.name(), status)
	}
}

// checkAnswer checks a success, which has to be the whole answer to the call.
func (j *journal) checkAnswer(c *call) {
	want := platformtest.ResponseBody(c.AttemptID)
	if strings.HasPrefix(c.Target, platformtest.StreamPathPrefix) {
		want = ""
		for n := 1; n <= platformtest.StreamEventCount; n++ {
			want += platformtest.StreamEvent(c.AttemptID, n)
		}
	}
	if c.reply.AttemptID != c.AttemptID || c.reply.EndpointID == "" || c.reply.Body != want {
		j.found("%s got another answer: request %q, endpoint %q, body %q", c.name(), c.reply.AttemptID, c.reply.EndpointID, c.reply.Body)
	}
}

// checkLost checks a call without a whole answer: a planned stop or reload cuts
// off nothing that runs.
func (j *journal) checkLost(c *call, runs []ran) {
	if len(runs) == 0 || c.ended.Sub(c.sent) >= c.Timeout || !j.calm(c.sent, c.ended, c.gateway) {
		return
	}
	j.found("%s lost its answer after %s: %v", c.name(), c.ended.Sub(c.sent), c.err)
}

func (j *journal) checkRun(c *call, r ran) {
	if r.Target != c.Target || r.Body != c.Body {
		j.found("%s was changed on its way: %s %q", c.name(), r.Target, r.Body)
	}
	if strings.HasPrefix(c.Target, homePath) && zones[r.endpoint.zone] != homeRegion {
		j.found("%s ran at %s in %s", c.name(), r.endpoint.ID(), r.endpoint.zone)
	}
	if at := r.endpoint.leaving; !at.IsZero() && r.StartedAt.After(at.Add(drainTime)) && j.calm(at, r.StartedAt, "") {
		j.found("%s ran at %s, %s after its leaving was known", c.name(), r.endpoint.ID(), r.StartedAt.Sub(at))
	}
	if strings.HasPrefix(c.Target, movedPath) && !j.mayRun(c, r) {
		j.found("%s ran at %s by a version that was replaced more than %s before", c.name(), r.Service, configTime)
	}
}

// mayRun says whether a version that may be in force sends the call to the
// service that ran it.
func (j *journal) mayRun(c *call, r ran) bool {
	for i, v := range j.versions {
		if v.service != r.Service || v.acked.After(r.StartedAt) {
			continue
		}
		if i == len(j.versions)-1 {
			return true
		}
		replaced := j.versions[i+1].acked
		if c.sent.Before(replaced.Add(configTime)) || !j.calm(replaced, c.sent, "") {
			return true
		}
	}
	return false
}

func (c *call) name() string { return fmt.Sprintf("%s %s by %s", c.Target, c.AttemptID, c.gateway) }
