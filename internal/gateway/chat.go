package gateway

import (
	"context"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/hickorystage/hickorystage/internal/admit"
	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/intent"
	"github.com/hickorystage/hickorystage/internal/memory"
	"github.com/hickorystage/hickorystage/internal/quarantine"
	"github.com/hickorystage/hickorystage/internal/relay"
	"github.com/hickorystage/hickorystage/internal/sched"
)

// Estimates of a response's size.
const (
	defaultOutputTokens = 256
	bytesPerOutputToken = 200
)

// chat serves POST /v1/chat/completions.
func (g *Gateway) chat(w http.ResponseWriter, r *http.Request, c *call) error {
	copies := g.openCopies(c)
	defer copies.Close()
	if err := g.reserveCopies(copies, c); err != nil {
		return err
	}
	parsed, err := relay.ParseChat(c.body)
	if err != nil {
		return err
	}
	if parsed.Resume != nil && c.fwd == nil {
		return failure.Refuse(failure.CodeBadRequest, "resume is for gateways only")
	}
	model, ok := c.state.Intent.Models[parsed.Model]
	if !ok {
		return failure.Refuse(failure.CodeUnknownModel, "no model %q", parsed.Model)
	}
	if parsed.Priority != nil {
		c.priority = min(c.priority, max(*parsed.Priority, 0))
	}
	req, err := g.schedRequest(c, parsed, model)
	if err != nil {
		return err
	}
	return g.runChat(w, r, c, parsed, req)
}

// schedRequest returns the scheduler's request for a chat.
func (g *Gateway) schedRequest(c *call, parsed relay.ParsedChat, model intent.Model) (*sched.Request, error) {
	promptTokens := sched.EstimateTokens(len(parsed.Prompt))
	if model.MaxPromptTokens > 0 && promptTokens > model.MaxPromptTokens {
		return nil, failure.Refuse(failure.CodeBadRequest, "the prompt is longer than %d tokens", model.MaxPromptTokens)
	}
	outputTokens := parsed.MaxTokens
	if outputTokens == 0 {
		outputTokens = defaultOutputTokens
	}
	if model.MaxOutputTokens > 0 {
		outputTokens = min(outputTokens, model.MaxOutputTokens)
	}
	return &sched.Request{
		ID:               c.localRequestID(),
		Customer:         c.customerName,
		Model:            parsed.Model,
		Groups:           model.Groups,
		PromptTokens:     promptTokens,
		OutputTokens:     outputTokens,
		PrefixHashes:     sched.PrefixHashes(parsed.Prompt),
		Priority:         c.priority,
		TimeToDeadline:   c.remaining(),
		PermittedRegions: c.permitted,
		ForwardsLeft:     c.regionHopsLeft(),
		OutputBytes:      outputTokens * bytesPerOutputToken,
	}, nil
}

// runChat admits a chat, relays it and records its result. It returns nil once
// a response has started, even if the response ends early.
func (g *Gateway) runChat(w http.ResponseWriter, r *http.Request, c *call, parsed relay.ParsedChat, req *sched.Request) error {
	ctx := r.Context()
	admission := admit.Request{
		ID:                 req.ID,
		Customer:           c.customerName,
		Group:              req.Groups[0],
		Priority:           c.priority,
		EstimatedTokens:    req.PromptTokens + req.OutputTokens,
		FirstTokenDeadline: c.deadline.Add(-time.Duration(req.OutputTokens) * g.SchedulerData.MeanTokenInterval(req.Groups[0])),
	}
	key := quarantine.HashRequest(quarantine.Request{
		Service: parsed.Model, Account: c.customerName, Method: http.MethodPost, Target: relay.ChatPath, Body: [][]byte{parsed.Prompt},
	})
	if err := g.heldRefusal(key); err != nil {
		return err
	}
	req.ExcludedEndpoints = g.withPaused(nil, req.Groups...)
	decision, err := g.Dispatcher.Acquire(ctx, admission, req)
	if err != nil {
		return g.afterPauses(err, req.ID, req.Groups...)
	}
	picker := &chatPicker{g: g, call: c, req: req, admission: admission, repeatKey: key, pendingDecision: &decision}
	hold := g.Memory.Open(memory.Response)
	defer hold.Close()
	var summary relay.Summary
	defer func() {
		g.Dispatcher.Release(admission, summary.Usage.TotalTokens-admission.EstimatedTokens)
		picker.releasePending()
	}()
	summary, err = g.Relay.Chat(ctx, relay.ChatRequest{
		RequestID: req.ID,
		Customer:  c.customerName,
		Model:     parsed.Model,
		Body:      c.body,
		Priority:  c.priority,
		Resume:    parsed.Resume,
		Hold:      hold,
		RepeatKey: key,
	}, picker.pick, g.newSink(w, r, c, parsed, hold))
	g.recordChat(ctx, summary, err)
	if err != nil && !summary.ResponseStarted {
		return err
	}
	return nil
}

// newSink returns the sink of the response: a stream of events for other
// gateways and for callers that asked for a stream, else one JSON document.
func (g *Gateway) newSink(w http.ResponseWriter, r *http.Request, c *call, parsed relay.ParsedChat, hold *memory.Holder) relay.Sink {
	if c.fwd != nil {
		return relay.NewSSESink(w, relay.SSEOptions{ChunkID: r.Header.Get(relay.HeaderAttemptID), RequestID: c.id})
	}
	if parsed.Stream {
		return relay.NewSSESink(w, relay.SSEOptions{ChunkID: c.id, RequestID: c.id})
	}
	sink := relay.NewJSONSink(w, c.id, parsed.Model, time.Now())
	sink.ChargeTo(hold)
	return sink
}

func (g *Gateway) recordChat(ctx context.Context, s relay.Summary, err error) {
	span := trace.SpanFromContext(ctx)
	span.SetAttributes(
		attribute.Int("attempts", s.Attempts),
		attribute.String("endpoint.id", s.Target.ID),
		attribute.String("endpoint.region", s.Target.Region),
		attribute.Int64("tokens", int64(s.Tokens)),
	)
	if s.TTFT > 0 {
		ttft.Observe(s.TTFT)
	}
	if err == nil {
		g.Admission.RecordSuccess()
	}
}
