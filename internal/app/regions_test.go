package app

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/hickorystage/hickorystage/internal/failure"
	"github.com/hickorystage/hickorystage/internal/standin/caller"
	"github.com/hickorystage/hickorystage/internal/telemetry"
)

// recordSpans records the spans of the test in memory, and restores the tracer
// provider when the test ends.
func recordSpans(t *testing.T) *tracetest.InMemoryExporter {
	t.Helper()
	spans := tracetest.NewInMemoryExporter()
	old := otel.GetTracerProvider()
	_, err := telemetry.StartTracing(nil, "", "")
	require.NoError(t, err)
	otel.SetTracerProvider(sdktrace.NewTracerProvider(sdktrace.WithSyncer(spans)))
	t.Cleanup(func() { otel.SetTracerProvider(old) })
	return spans
}

// requireOneTrace checks that all spans belong to one trace, and how many there
// are of each name.
func requireOneTrace(t *testing.T, spans *tracetest.InMemoryExporter, want map[string]int) {
	t.Helper()
	got := spans.GetSpans()
	names := map[string]int{}
	for _, span := range got {
		names[span.Name]++
		require.Equal(t, got[0].SpanContext.TraceID(), span.SpanContext.TraceID(), "all spans belong to one trace")
	}
	require.Equal(t, want, names)
}

func TestOneRequestAcrossTwoRegionsLeavesASpanForEachHop(t *testing.T) {
	spans := recordSpans(t)
	runInDeployment(t, func(t *testing.T, d *testDeployment) {
		d.removeEngine(norrland, "10.1.0.2:80")
		time.Sleep(15 * time.Second)
		spans.Reset()
		c := d.client(d.gateway("gw3-norrland"), "demo-key-norrland")
		s, err := c.Stream(context.Background(), chatBody("across"))
		require.NoError(t, err)
		require.Equal(t, 10, s.Chunks)
		synctest.Wait()
		requireOneTrace(t, spans, map[string]int{telemetry.SpanGateway: 2, telemetry.SpanAttempt: 2})
		require.Positive(t, d.engines["engine-svealand"].Stats().Completed)
	})
}

func TestAnActionOfAnotherGatewaysTicketLeavesASpanForEachHop(t *testing.T) {
	spans := recordSpans(t)
	runInDeployment(t, func(t *testing.T, d *testDeployment) {
		ownerClient := d.client(d.gateway("gw1-svealand"), "demo-key-svealand")
		peerClient := d.client(d.gateway("gw2-svealand"), "demo-key-svealand")
		tickets := d.entries(ownerClient).Tickets
		spans.Reset()
		require.Equal(t, http.StatusOK, d.book(peerClient, tickets.Key(tickets.First)).Status)
		synctest.Wait()
		requireOneTrace(t, spans, map[string]int{telemetry.SpanGateway: 2, telemetry.SpanAction: 1})
	})
}

func TestServiceCallGoesToAPermittedRegionOnly(t *testing.T) {
	runInDeployment(t, func(t *testing.T, d *testDeployment) {
		for _, region := range []string{norrland, gotaland} {
			d.directory.DeleteInstance("booking-" + region)
		}
		time.Sleep(20 * time.Second)
		callService := func(id, key string) *caller.Response {
			a, err := d.client(d.gateway(id), key).Do(context.Background(), http.MethodGet, "/v1/services/booking/bookings/slots?week=3", nil, nil)
			require.NoError(t, err)
			return a
		}
		a := callService("gw3-norrland", "demo-key-norrland")
		require.Equal(t, http.StatusOK, a.Status, string(a.Body))
		require.Contains(t, string(a.Body), "booking-svealand")
		a = callService("gw5-gotaland", "demo-key-gotaland")
		require.Equal(t, failure.CodeNoEndpoint, refusalOf(t, a).Type)
		require.Equal(t, failure.NotRun, refusalOf(t, a).Outcome)
	})
}

func TestResidencyHoldsWhenTheRegionFails(t *testing.T) {
	runInDeployment(t, func(t *testing.T, d *testDeployment) {
		d.removeEngine(gotaland, "10.1.0.3:80")
		time.Sleep(15 * time.Second)
		before := d.engines["engine-svealand"].Stats().Attempts + d.engines["engine-norrland"].Stats().Attempts
		a := d.chat(d.client(d.gateway("gw5-gotaland"), "demo-key-gotaland"), "stay")
		require.Equal(t, failure.NotRun, refusalOf(t, a).Outcome)
		require.Equal(t, failure.CodeNoEndpoint, refusalOf(t, a).Type)
		a = d.chat(d.client(d.gateway("gw1-svealand"), "demo-key-gotaland"), "elsewhere")
		require.Equal(t, failure.CodeResidencyNotPermitted, refusalOf(t, a).Type)
		require.Equal(t, gotaland, refusalOf(t, a).Entries[0].Region, "the refusal names a gateway of the permitted region")
		after := d.engines["engine-svealand"].Stats().Attempts + d.engines["engine-norrland"].Stats().Attempts
		require.Equal(t, before, after, "no engine of another region received the request")
	})
}
