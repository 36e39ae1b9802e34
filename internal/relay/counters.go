package relay

import "github.com/hickorystage/hickorystage/internal/telemetry"

var (
	attemptsStarted     = telemetry.NewCounter("relay_attempts", "attempts", "Attempts started at endpoints and other gateways.")
	retriesStarted      = telemetry.NewCounter("relay_retries", "attempts", "Attempts beyond the first of their request.")
	retriesDenied       = telemetry.NewCounter("relay_retries_denied", "requests", "Requests that failed because the retry budget was exhausted.")
	streamsResumed      = telemetry.NewCounter("relay_resumes", "attempts", "Attempts that resumed a response already started.")
	chunksRelayed       = telemetry.NewCounter("relay_chunks", "chunks", "Chunks delivered to callers.")
	chunksDuplicate     = telemetry.NewCounter("relay_chunks_repeated", "chunks", "Duplicate chunks that were discarded.")
	responsesIncomplete = telemetry.NewCounter("relay_answers_incomplete", "responses", "Streamed responses that ended with an error event.")
	cancelsSent         = telemetry.NewCounter("relay_cancels", "requests", "Cancel requests that an endpoint answered.")
	cancelsFailed       = telemetry.NewCounter("relay_cancels_lost", "requests", "Cancel requests that failed or were dropped because the queue was full.")

	resultCounters = newResultCounters()
)

func newResultCounters() map[ResultKind]*telemetry.Counter {
	kinds := []ResultKind{
		ResultOK, ResultDialFailed, ResultConnSilent, ResultConnLost, ResultEndpointSilent, ResultBusy,
		ResultRejected, ResultBadStatus, ResultMismatched, ResultMissingChunk, ResultMalformed,
		ResultTruncated, ResultCallerGone, ResultDeadlineExceeded,
	}
	m := make(map[ResultKind]*telemetry.Counter, len(kinds))
	for _, k := range kinds {
		m[k] = telemetry.NewCounter("relay_result_"+string(k), "attempts", "Attempts that ended with the result "+string(k)+".")
	}
	return m
}
