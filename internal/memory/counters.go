package memory

import "github.com/hickorystage/hickorystage/internal/telemetry"

// Counters by class, summed over the accounts of the process.
var (
	held = [classCount]*telemetry.Counter{
		Head:     telemetry.NewCounter("memory_held_heads", "bytes", "bytes that heads of requests hold now"),
		Body:     telemetry.NewCounter("memory_held_bodies", "bytes", "bytes that bodies of callers' requests hold now"),
		Response: telemetry.NewCounter("memory_held_responses", "bytes", "bytes that responses held back hold now"),
		Forward:  telemetry.NewCounter("memory_held_forwards", "bytes", "bytes that bodies of forwarded requests hold now"),
	}
	refusals = [classCount]*telemetry.Counter{
		Head:     telemetry.NewCounter("memory_refused_heads", "reservations", "reservations for heads that did not fit into the memory account"),
		Body:     telemetry.NewCounter("memory_refused_bodies", "reservations", "reservations for bodies that did not fit into the memory account"),
		Response: telemetry.NewCounter("memory_refused_responses", "reservations", "reservations for responses that did not fit into the memory account"),
		Forward:  telemetry.NewCounter("memory_refused_forwards", "reservations", "reservations for forwarded bodies that did not fit into the memory account"),
	}
	evictions = [classCount]*telemetry.Counter{
		Head:     telemetry.NewCounter("memory_evicted_heads", "requests", "incomplete heads whose memory others needed"),
		Body:     telemetry.NewCounter("memory_evicted_bodies", "requests", "incomplete bodies whose memory others needed"),
		Response: telemetry.NewCounter("memory_evicted_responses", "responses", "always 0: responses are not evicted"),
		Forward:  telemetry.NewCounter("memory_evicted_forwards", "requests", "incomplete forwarded bodies whose memory others needed"),
	}
)
