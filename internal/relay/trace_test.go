package relay

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/attribute"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/hickorystage/hickorystage/internal/telemetry"
)

// TestSpanForEachAttempt checks that each attempt has a span as a child of the
// caller's, that the endpoint receives that span's id, and that the span records
// the attempt's result.
func TestSpanForEachAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		spans := tracetest.NewSpanRecorder()
		tracer := sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(spans)).Tracer("test")
		w := newTestbed(t, Settings{Tracer: tracer})
		defer w.close()
		a := w.addEngine("a", func(w *engineWriter) { w.writeChunks(faultSeq) })
		b := w.addEngine("b", completeResponse)
		ctx, root := tracer.Start(context.Background(), "root")
		_, _, err := w.chat(ctx)
		require.NoError(t, err)
		ended := spans.Ended()
		require.Len(t, ended, 2)
		for i, e := range []*fakeEngine{a, b} {
			span := ended[i]
			require.Equal(t, telemetry.SpanAttempt, span.Name())
			require.Equal(t, root.SpanContext().SpanID(), span.Parent().SpanID())
			parent := strings.Split(e.requests[0].Header.Get("Traceparent"), "-")
			require.Equal(t, root.SpanContext().TraceID().String(), parent[1])
			require.Equal(t, span.SpanContext().SpanID().String(), parent[2])
		}
		require.Contains(t, ended[0].Attributes(), attribute.String("attempt.result", string(ResultTruncated)))
		require.Contains(t, ended[1].Attributes(), attribute.Int64("attempt.next_seq", faultSeq))
	})
}
