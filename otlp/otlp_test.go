package otlp_test

import (
	"context"
	"net/http/httptest"
	"testing"

	"cyclamenrelay.example/otlp"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/sdk/trace"
	"gotest.tools/v3/assert"
)

func TestCollectorKeepsSpans(t *testing.T) {
	var c otlp.Collector
	srv := httptest.NewServer(c.Handler())
	defer srv.Close()
	ctx := context.Background()
	exp, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(srv.URL+"/v1/traces"))
	assert.NilError(t, err)
	p := trace.NewTracerProvider(trace.WithSyncer(exp))
	parent, span := p.Tracer("x").Start(ctx, "entry")
	_, child := p.Tracer("x").Start(parent, "agent")
	child.SetAttributes(attribute.String("kind", "match"))
	child.End()
	span.End()
	assert.NilError(t, p.Shutdown(ctx))
	got := c.Spans(span.SpanContext().TraceID().String())
	assert.Equal(t, len(got), 2)
	assert.Equal(t, got[0].Name, "agent")
	assert.Equal(t, got[0].Parent, got[1].ID)
	assert.Equal(t, got[0].Attributes["kind"], "match")
	assert.Equal(t, len(c.Spans("ff")), 0)
}
