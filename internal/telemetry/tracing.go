package telemetry

import (
	"context"
	"io"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// TracerName is the instrumentation scope of every span.
const TracerName = "hickorystage"

// Names of spans, one for each hop of a request.
const (
	// SpanGateway covers the handling of a request at one gateway.
	SpanGateway = "gateway"
	// SpanAttempt covers one attempt of a chat or service call at an endpoint
	// or at a gateway of another region.
	SpanAttempt = "attempt"
	// SpanAction covers the dispatch of an action to an endpoint.
	SpanAction = "action"
)

// StartTracing installs the W3C trace context propagator and, if w is not nil,
// an exporter that writes spans to w as JSON lines. The returned function
// flushes the spans and stops the exporter.
func StartTracing(w io.Writer, instance, region string) (func(context.Context) error, error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	if w == nil {
		return func(context.Context) error { return nil }, nil
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(w))
	if err != nil {
		return nil, err
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", TracerName),
			attribute.String("service.instance.id", instance),
			attribute.String("hickorystage.region", region),
		)),
	)
	otel.SetTracerProvider(provider)
	return provider.Shutdown, nil
}

// Tracer returns the tracer of all spans of the project.
func Tracer() trace.Tracer { return otel.Tracer(TracerName) }
