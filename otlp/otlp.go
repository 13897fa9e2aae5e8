// Package otlp is a trace collector for tests: it receives OTLP spans over HTTP,
// keeps them in memory and serves them as JSON.
package otlp

import (
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	collector "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	common "go.opentelemetry.io/proto/otlp/common/v1"
	tracev1 "go.opentelemetry.io/proto/otlp/trace/v1"
	"google.golang.org/protobuf/proto"
)

const (
	maxBody  = 16 << 20 // bytes
	maxSpans = 1 << 20  // beyond that the oldest are dropped
)

// Span is a received span.
type Span struct {
	Trace      string            `json:"trace"`
	ID         string            `json:"id"`
	Parent     string            `json:"parent,omitempty"`
	Name       string            `json:"name"`
	Service    string            `json:"service"`
	Start      time.Time         `json:"start"`
	End        time.Time         `json:"end"`
	Attributes map[string]string `json:"attributes,omitempty"`
}

// Collector keeps received spans in memory. The zero value is ready to use.
type Collector struct {
	mu    sync.Mutex
	spans []Span
}

// Spans returns the spans of a trace, or all when the trace ID is empty.
func (c *Collector) Spans(id string) []Span {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := []Span{}
	for _, s := range c.spans {
		if id == "" || s.Trace == id {
			out = append(out, s)
		}
	}
	return out
}

// Handler serves POST /v1/traces (OTLP, protobuf) and GET /v1/spans, which
// returns Spans as JSON; the query parameter trace selects one trace.
func (c *Collector) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/traces", c.receive)
	mux.HandleFunc("GET /v1/spans", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(c.Spans(r.URL.Query().Get("trace")))
	})
	return mux
}

func (c *Collector) receive(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	var req collector.ExportTraceServiceRequest
	if err == nil {
		err = proto.Unmarshal(b, &req)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c.add(&req)
	w.Header().Set("Content-Type", "application/x-protobuf")
}

func (c *Collector) add(req *collector.ExportTraceServiceRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, rs := range req.GetResourceSpans() {
		service := attributes(rs.GetResource().GetAttributes())["service.name"]
		for _, ss := range rs.GetScopeSpans() {
			for _, s := range ss.GetSpans() {
				c.spans = append(c.spans, newSpan(service, s))
			}
		}
	}
	c.spans = c.spans[max(0, len(c.spans)-maxSpans):]
}

func newSpan(service string, s *tracev1.Span) Span {
	return Span{
		Trace:      hex.EncodeToString(s.GetTraceId()),
		ID:         hex.EncodeToString(s.GetSpanId()),
		Parent:     hex.EncodeToString(s.GetParentSpanId()),
		Name:       s.GetName(),
		Service:    service,
		Start:      time.Unix(0, int64(s.GetStartTimeUnixNano())).UTC(),
		End:        time.Unix(0, int64(s.GetEndTimeUnixNano())).UTC(),
		Attributes: attributes(s.GetAttributes()),
	}
}

func attributes(kvs []*common.KeyValue) map[string]string {
	out := map[string]string{}
	for _, kv := range kvs {
		switch v := kv.GetValue().GetValue().(type) {
		case *common.AnyValue_StringValue:
			out[kv.GetKey()] = v.StringValue
		default:
			out[kv.GetKey()] = kv.GetValue().String()
		}
	}
	return out
}
