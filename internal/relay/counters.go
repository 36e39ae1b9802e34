package relay

import "github.com/hickorystage/hickorystage/internal/telemetry"

var (
	attemptsStarted     = telemetry.NewCounter("relay_attempts", "attempts", "Attempts made at endpoints.")
	retriesStarted      = telemetry.NewCounter("relay_retries", "attempts", "Attempts beyond the first of their request.")
	retriesDenied       = telemetry.NewCounter("relay_retries_denied", "requests", "Requests that ended because the retry budget was spent.")
	streamsResumed      = telemetry.NewCounter("relay_resumes", "attempts", "Attempts that went on with an answer already begun.")
	chunksRelayed       = telemetry.NewCounter("relay_chunks", "chunks", "Chunks delivered to callers.")
	chunksDuplicate     = telemetry.NewCounter("relay_chunks_repeated", "chunks", "Chunks that an endpoint sent again and that were left out.")
	responsesIncomplete = telemetry.NewCounter("relay_answers_incomplete", "answers", "Answers begun that ended with an error event.")
	cancelsSent         = telemetry.NewCounter("relay_cancels", "orders", "Cancel orders that an endpoint took.")
	cancelsFailed       = telemetry.NewCounter("relay_cancels_lost", "orders", "Cancel orders that failed or found the queue full.")

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
