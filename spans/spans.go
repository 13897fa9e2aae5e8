// Package spans creates a tracing span for each hop of a request, and exports the
// spans by OTLP over HTTP when a collector is set.
package spans

import (
	"context"

	"github.com/gravitational/trace"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	oteltrace "go.opentelemetry.io/otel/trace"
)

const (
	tracerName  = "cyclamenrelay"
	traceparent = "traceparent"
)

var w3c propagation.TraceContext

// Setup exports the spans of the process to the collector, a URL, or none when it
// is empty. The share, 0 to 1, is the sampling ratio of new traces. The returned
// function flushes the spans and stops the export.
func Setup(ctx context.Context, process, collector string, share float64) (func(context.Context) error, error) {
	if collector == "" {
		return func(context.Context) error { return nil }, nil
	}
	exp, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(collector))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	res := resource.NewSchemaless(attribute.String("service.name", process))
	tp := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exp),
		sdktrace.WithResource(res),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(share))),
	)
	otel.SetTracerProvider(tp)
	return tp.Shutdown, nil
}

// Start starts a span as a child of the one in ctx.
func Start(ctx context.Context, name string, attrs ...attribute.KeyValue) (context.Context, oteltrace.Span) {
	return otel.Tracer(tracerName).Start(ctx, name, oteltrace.WithAttributes(attrs...))
}

// Inject returns the W3C traceparent of the span in ctx, empty when there is none.
func Inject(ctx context.Context) string {
	c := propagation.MapCarrier{}
	w3c.Inject(ctx, c)
	return c[traceparent]
}

// Extract returns ctx with the span of the W3C traceparent as its parent span.
func Extract(ctx context.Context, parent string) context.Context {
	if parent == "" {
		return ctx
	}
	return w3c.Extract(ctx, propagation.MapCarrier{traceparent: parent})
}
