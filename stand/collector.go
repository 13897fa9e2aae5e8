package main

import (
	"cyclamenrelay.example/sink"
)

func init() {
	register("collector", "Collect OTLP traces and serve them as JSON", &collector{})
}

type collector struct {
	Listen string `long:"listen" required:"yes" description:"IP address and port to serve on"`
}

// Execute runs the collector until SIGTERM.
func (c *collector) Execute([]string) error {
	var s sink.Collector
	return serve(c.Listen, s.Handler())
}
