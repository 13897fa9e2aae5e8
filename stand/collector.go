package main

import (
	"cyclamenrelay.example/otlp"
)

func init() {
	register("collector", "Collect OTLP traces and serve them as JSON", &collector{})
}

type collector struct {
	Listen string `long:"listen" required:"yes" description:"IP address and port to serve on"`
}

// Execute runs the collector until SIGTERM or SIGINT.
func (c *collector) Execute([]string) error {
	var s otlp.Collector
	return serveUntilSignal(c.Listen, s.Handler())
}
