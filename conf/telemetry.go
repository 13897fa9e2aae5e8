package conf

// Log holds the settings of the log.
type Log struct {
	// Level is the lowest level that is logged: debug, info, warn or error.
	Level string `json:"level"`
}

func defaultLog() Log { return Log{Level: "info"} }

func (l Log) check(c *checker) {
	c.oneOf("log.level", l.Level, "debug", "info", "warn", "error")
}

// Spans holds the settings of tracing.
type Spans struct {
	// Collector is the URL of an OTLP collector over HTTP, empty to disable tracing.
	Collector string `json:"collector"`
	// Share is the sampling ratio: the share of requests that are traced, 0 to 1.
	Share float64 `json:"share"`
}

func defaultSpans() Spans { return Spans{Share: 0.01} }

func (s Spans) check(c *checker) {
	if s.Collector != "" {
		c.httpURL("spans.collector", s.Collector)
	}
	if s.Share < 0 || s.Share > 1 {
		c.add("spans.share", s.Share, "0 to 1")
	}
}

// Metrics holds the settings of the metrics and health endpoints.
type Metrics struct {
	// Listen is the IP address and TCP port of /metrics, /live and /ready, empty for
	// none.
	Listen string `json:"listen"`
	// Profiles adds /debug/pprof/, which exposes the internals of the process to anyone
	// who can reach Listen.
	Profiles bool `json:"profiles"`
}

func (m Metrics) check(c *checker) {
	if m.Listen != "" {
		c.listen("metrics.listen", m.Listen)
	}
}
