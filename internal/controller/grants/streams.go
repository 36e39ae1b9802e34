package grants

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorystage/hickorystage/internal/streamversion"
	"github.com/hickorystage/hickorystage/internal/telemetry"
)

// MaxStreamRecords is the number of records that fit in one datagram.
const MaxStreamRecords = 48

var (
	streamRecordsSent = telemetry.NewCounter("stream_records_sent", "records", "versions that began streams told to other gateways")
	streamsAsked      = telemetry.NewCounter("streams_asked", "requests", "requests to other gateways for the version that began a stream")
	streamsAnswered   = telemetry.NewCounter("streams_answered", "requests", "such requests of other gateways answered")
)

// StreamRequest asks a gateway which version of a service began a stream.
type StreamRequest struct {
	// Nonce is random and repeated in the response, as that of a ProofRequest.
	Nonce   uint64           `json:"r" lenient:"required"`
	ID      streamversion.ID `json:"i" lenient:"required"`
	Service string           `json:"s" lenient:"required"`
}

// StreamResponse tells what a gateway knows.
type StreamResponse struct {
	Nonce uint64 `json:"r" lenient:"required"`
	// Version is the one that began the stream, empty if the gateway doesn't know.
	Version string `json:"v,omitempty" lenient:"required"`
	streamversion.ServiceVersions
}

// StreamKeeper keeps what other gateways tell of streams, and answers them.
type StreamKeeper interface {
	KeepStream(record streamversion.Record, now time.Time)
	// LookupStream returns the version that began a stream, empty if it isn't known, and the
	// versions of its service.
	LookupStream(id streamversion.ID, service string, now time.Time) (version string, versions streamversion.ServiceVersions)
}

// SetStreamKeeper sets the StreamKeeper. It must be called before Run. Without one, requests for
// streams get no response.
func (c *Controller) SetStreamKeeper(k StreamKeeper) { c.streamKeeper = k }

// handleStream handles the messages about streams that aren't responses, and reports whether m is
// one of them.
func (c *Controller) handleStream(m message, from net.Addr) bool {
	if len(m.StreamRecords) == 0 && m.StreamRequest == nil {
		return false
	}
	if c.streamKeeper == nil {
		return true
	}
	now := time.Now()
	for _, record := range m.StreamRecords {
		c.streamKeeper.KeepStream(record, now)
	}
	if req := m.StreamRequest; req != nil {
		response := StreamResponse{Nonce: req.Nonce}
		response.Version, response.ServiceVersions = c.streamKeeper.LookupStream(req.ID, req.Service, now)
		streamsAnswered.Inc()
		c.respond(message{RequestID: m.RequestID, StreamResponse: &response}, from)
	}
	return true
}

// TellStreams tells the gateway with the given address of at most MaxStreamRecords streams.
func (c *Controller) TellStreams(address string, records []streamversion.Record) error {
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return errors.Wrap(err, "resolve gateway address")
	}
	streamRecordsSent.Add(int64(len(records)))
	return c.send(message{StreamRecords: records}, to)
}

// AskStream asks a gateway which version of a service began a stream, and waits for the response
// until ctx ends. The error is a *NoResponseError if there is none.
func (c *Controller) AskStream(ctx context.Context, gateway, address string, id streamversion.ID, service string) (StreamResponse, error) {
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return StreamResponse{}, errors.Wrap(err, "resolve gateway address")
	}
	req := StreamRequest{Nonce: rand.Uint64(), ID: id, Service: service}
	requestID, ch := c.register()
	defer c.unregister(requestID)
	streamsAsked.Inc()
	if err := c.send(message{RequestID: requestID, StreamRequest: &req}, to); err != nil {
		return StreamResponse{}, err
	}
	select {
	case m := <-ch:
		if m.StreamResponse != nil && m.StreamResponse.Nonce == req.Nonce {
			return *m.StreamResponse, nil
		}
	case <-ctx.Done():
	}
	return StreamResponse{}, errors.WithStack(&NoResponseError{Gateway: gateway})
}
