package edge

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/hickorystage/hickorystage/internal/controller/grants"
	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/fleet"
	"github.com/hickorystage/hickorystage/internal/rendezvous"
	"github.com/hickorystage/hickorystage/internal/route"
	"github.com/hickorystage/hickorystage/internal/streamversion"
	"github.com/hickorystage/hickorystage/internal/telemetry"
)

const (
	// streamKeepers is the number of other gateways that are told of a stream.
	streamKeepers = 3
	// streamKeepersAsked is the number of gateways of this region that are asked for a stream:
	// some that were told of it may be gone, and others may have come.
	streamKeepersAsked = 5
	// remoteKeepersAsked is the number asked in each other region, from which a caller may come.
	remoteKeepersAsked = 2
	// localStreamWait and remoteStreamWait are how long a request waits for the responses of
	// this region and of all others.
	localStreamWait  = 80 * time.Millisecond
	remoteStreamWait = 300 * time.Millisecond
	// tellInterval is the time between two rounds in which other gateways are told of streams.
	tellInterval = 50 * time.Millisecond
	// recordInterval is the time after which the record of a stream that goes on is refreshed.
	recordInterval = streamversion.Retention / 3
	// streamRetryDelay is the Retry-After of a stream whose version may be known to a gateway
	// that didn't respond.
	streamRetryDelay = 500 * time.Millisecond
)

var (
	streamsTakenUp = telemetry.NewCounter("route_streams_taken_up", "requests", "streams that callers take up again")
	streamsUnknown = telemetry.NewCounter("route_stream_versions_unknown", "requests", "streams that callers take up, refused since no gateway knows which software version began them")
)

// StreamPeers tells other gateways which software versions began streams, and asks them.
type StreamPeers interface {
	// TellStreams tells the gateway at address of at most grants.MaxStreamRecords streams.
	TellStreams(address string, records []streamversion.Record) error
	// AskStream asks a gateway for a stream and waits for the response until ctx ends.
	AskStream(ctx context.Context, gateway, address string, id streamversion.ID, service string) (grants.StreamResponse, error)
}

// isVersion reports whether an endpoint has the software version; empty for any.
func isVersion(view fleet.EndpointView, version string) bool {
	return version == "" || view.SoftwareVersion == version
}

// firstAttemptID returns the id of the attempt that brings, or has brought, the first event of the
// stream; empty for a stream that the caller takes up without saying so.
func (s *session) firstAttemptID() string {
	if s.req.LastEventID != "" {
		return s.req.Resumes
	}
	return s.req.AttemptID
}

// pinVersion keeps the stream at the software version of the endpoint whose response begins it.
func (a *attempt) pinVersion(resp *http.Response) {
	if a.route.Kind != route.Streaming {
		return
	}
	if a.stream.version == "" {
		a.stream.version = a.softwareVersion(resp)
	}
	if a.forwarded != nil {
		a.writer.Header().Set(headerSoftwareVersion, a.stream.version)
	}
}

// softwareVersion returns the software version of the endpoint that made the response; empty if
// a gateway of an earlier build relays it from an endpoint that isn't known here.
func (a *attempt) softwareVersion(resp *http.Response) string {
	if a.gateway == nil {
		return a.endpoint.SoftwareVersion
	}
	if version := resp.Header.Get(headerSoftwareVersion); version != "" {
		return version
	}
	view, _ := a.edge.Registry.Get(a.edge.Codec.ReadResponse(resp.Header).EndpointID)
	return view.SoftwareVersion
}

// recordVersion records which version began the stream, for the case that the caller takes it up
// again. It is called with each event; the gateway that the caller is connected to records.
func (a *attempt) recordVersion(now time.Time) {
	first := a.firstAttemptID()
	if a.forwarded != nil || first == "" || a.stream.version == "" || a.stream.lastEventID == 0 || now.Sub(a.stream.recordedAt) < recordInterval {
		return
	}
	a.stream.recordedAt = now
	a.edge.Streams.Begin(streamversion.Record{ID: streamversion.IDOf(first), Service: a.service.Name, Version: a.stream.version}, now)
}

// resolveVersion finds out which software version began the stream that a caller takes up, so
// that it goes on there. It returns a refusal if that can't be known.
func (s *session) resolveVersion(ctx context.Context) *failure.Refusal {
	if s.route.Kind != route.Streaming || s.req.LastEventID == "" {
		return nil
	}
	streamsTakenUp.Inc()
	version, allAnswered := s.lookUpVersion(ctx)
	if version == "" {
		streamsUnknown.Inc()
		refusal := failure.Refuse(failure.CodeStreamVersionUnknown, "no gateway knows which software version began the stream of attempt %.60q", s.req.Resumes)
		if !allAnswered {
			refusal = refusal.WithRetryAfter(streamRetryDelay)
		}
		return refusal
	}
	s.stream.version = version
	return nil
}

// lookUpVersion returns the software version that began the stream, empty if it can't be known,
// and whether all gateways that may know have answered. What a record says goes before what
// follows from the versions that the service has had: gateways may learn of a new one late.
func (s *session) lookUpVersion(ctx context.Context) (version string, allAnswered bool) {
	e, now, id := s.edge, time.Now(), streamversion.IDOf(s.firstAttemptID())
	version, own := e.LookupStream(id, s.service.Name, now)
	hasRecords := s.firstAttemptID() != ""
	if version != "" && hasRecords {
		return version, true
	}
	ctx, cancel := context.WithTimeout(ctx, remoteStreamWait)
	defer cancel()
	local, remote := e.keepersAsked(id, now)
	isAlone := e.Gateways.CountRemembered() == 1
	answers := make(chan streamAnswer, len(local)+len(remote))
	if e.StreamPeers != nil {
		for i, g := range append(local, remote...) {
			go func() {
				response, err := e.StreamPeers.AskStream(ctx, g.ID, g.GrantAddress, id, s.service.Name)
				if !hasRecords {
					response.Version = ""
				}
				answers <- streamAnswer{response: response, err: err, isLocal: i < len(local)}
			}()
		}
	}
	return collectStreamAnswers(ctx, answers, len(local), len(remote), own, isAlone)
}

// streamAnswer is the response of another gateway.
type streamAnswer struct {
	response grants.StreamResponse
	err      error
	isLocal  bool
}

// collectStreamAnswers returns the version that the answers of so many gateways of this region
// and of others lead to. own is what this gateway knows of the service's versions, and isAlone says
// that no other gateway may be running.
func collectStreamAnswers(ctx context.Context, answers <-chan streamAnswer, local, remote int, own streamversion.ServiceVersions, isAlone bool) (version string, allAnswered bool) {
	localTimer := time.NewTimer(localStreamWait)
	defer localTimer.Stop()
	var agreement streamversion.Agreement
	agreement.Add(own)
	allAnswered = local+remote > 0 || isAlone
	isLocalWaitOver := false
	for local+remote > 0 {
		if sole, ok := agreement.Sole(isAlone); ok && (local == 0 || isLocalWaitOver) {
			return sole, local == 0 && allAnswered
		}
		select {
		case <-ctx.Done():
			local, remote, allAnswered = 0, 0, false
		case <-localTimer.C:
			isLocalWaitOver = true
		case a := <-answers:
			if a.isLocal {
				local--
			} else {
				remote--
			}
			if a.err != nil {
				allAnswered = false
				continue
			}
			if a.response.Version != "" {
				return a.response.Version, true
			}
			agreement.Add(a.response.ServiceVersions)
		}
	}
	sole, _ := agreement.Sole(isAlone)
	return sole, allAnswered
}

// keepersAsked returns the gateways of this region and of others that are asked for a stream.
func (e *Edge) keepersAsked(id streamversion.ID, now time.Time) (local, remote []fleet.GatewayStatus) {
	local, remote = e.keepersAmong(id, e.Gateways.Alive, now)
	if len(local)+len(remote) == 0 {
		// This gateway hears nobody. The others may hear it, or it may have stood still.
		return e.keepersAmong(id, e.Gateways.Remembered, now)
	}
	return local, remote
}

// keepersAmong returns the gateways of this region and of others, of those that list returns for a
// region, that are asked for a stream.
func (e *Edge) keepersAmong(id streamversion.ID, list func(region string, now time.Time) []fleet.GatewayStatus, now time.Time) (local, remote []fleet.GatewayStatus) {
	self := e.Gateways.Self().Region
	local = e.topKeepers(id, list(self, now), streamKeepersAsked)
	for _, region := range e.Gateways.Regions() {
		if region != self {
			remote = append(remote, e.topKeepers(id, list(region, now), remoteKeepersAsked)...)
		}
	}
	return local, remote
}

// topKeepers returns the n of the gateways that keep the record of a stream, without this one.
func (e *Edge) topKeepers(id streamversion.ID, gateways []fleet.GatewayStatus, n int) []fleet.GatewayStatus {
	byID := make(map[string]fleet.GatewayStatus)
	var ids []string
	for _, g := range gateways {
		if g.GrantAddress != "" && g.ID != e.Gateways.Self().ID {
			byID[g.ID] = g
			ids = append(ids, g.ID)
		}
	}
	var out []fleet.GatewayStatus
	for _, top := range rendezvous.Top(strconv.FormatUint(uint64(id), 16), ids, n) {
		out = append(out, byID[top])
	}
	return out
}

// keepersTold returns the gateways that are told of a stream: those of this region, and if these
// are too few, one of each other region.
func (e *Edge) keepersTold(id streamversion.ID, now time.Time) []fleet.GatewayStatus {
	self := e.Gateways.Self().Region
	out := e.topKeepers(id, e.Gateways.Alive(self, now), streamKeepers)
	regions := e.Gateways.Regions()
	slices.Sort(regions)
	for _, region := range regions {
		if len(out) < streamKeepers && region != self {
			out = append(out, e.topKeepers(id, e.Gateways.Alive(region, now), 1)...)
		}
	}
	return out
}

// KeepStream implements grants.StreamKeeper.
func (e *Edge) KeepStream(record streamversion.Record, now time.Time) { e.Streams.Keep(record, now) }

// LookupStream implements grants.StreamKeeper.
func (e *Edge) LookupStream(id streamversion.ID, service string, now time.Time) (version string, versions streamversion.ServiceVersions) {
	version, _ = e.Streams.Lookup(id, service, now)
	return version, e.Registry.Versions(service, streamversion.Retention, now)
}

// StreamVersions is the controller that tells other gateways which software versions began the
// streams of this one. As long as a service has had one version only, that is known without.
type StreamVersions struct{ Edge *Edge }

// Name implements controller.Controller.
func (StreamVersions) Name() string { return "streamversions" }

// Run implements controller.Controller.
func (v StreamVersions) Run(t *tomb.Tomb) error {
	ticker := time.NewTicker(tellInterval)
	defer ticker.Stop()
	for {
		select {
		case <-t.Dying():
			return nil
		case now := <-ticker.C:
			v.Edge.tellStreams(now)
		}
	}
}

// tellStreams tells other gateways of the streams that they haven't been told of, unless their
// services have had one version only.
func (e *Edge) tellStreams(now time.Time) {
	unsent := e.Streams.TakeUnsent(func(service string) bool {
		return e.Registry.Versions(service, streamversion.Retention, now).Sole == ""
	}, now)
	byAddress := make(map[string][]streamversion.Record)
	for _, record := range unsent {
		for _, g := range e.keepersTold(record.ID, now) {
			byAddress[g.GrantAddress] = append(byAddress[g.GrantAddress], record)
		}
	}
	for address, records := range byAddress {
		for part := range slices.Chunk(records, grants.MaxStreamRecords) {
			if err := e.StreamPeers.TellStreams(address, part); err != nil {
				e.Logger.Warn("cannot tell a gateway of streams", "address", address, "err", err)
			}
		}
	}
}
