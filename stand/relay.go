package main

import (
	"context"
	"net"
	"net/http"
	"os"

	"cyclamenrelay.example/fault"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
)

func init() {
	register("relay", "Relay UDP and TCP between ports with injected faults", &relay{})
}

type relay struct {
	Links   string `long:"links" required:"yes" description:"JSON file of the links"`
	Control string `long:"control" description:"IP address and port of the control listener"`
	Seed    uint64 `long:"seed" default:"1" description:"seed of the random faults"`
}

// Execute relays the links until SIGTERM or SIGINT.
func (c *relay) Execute([]string) error {
	f, err := os.Open(c.Links)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer func() { _ = f.Close() }()
	links, err := fault.ReadLinks(f)
	if err != nil {
		return err
	}
	r, err := fault.New(links, clockwork.NewRealClock(), c.Seed)
	if err != nil {
		return err
	}
	defer r.Close()
	newLogger().Info("fault relay is running", zap.Int("links", len(links)))
	return serveUntilSignal(c.Control, r.Handler())
}

// serveUntilSignal serves h on the address until SIGTERM or SIGINT; without an
// address it only waits for the signal.
func serveUntilSignal(address string, h http.Handler) error {
	ctx, stop := untilSignal()
	defer stop()
	if address == "" {
		<-ctx.Done()
		return nil
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return trace.Wrap(err)
	}
	srv := &http.Server{Handler: h}
	served := make(chan error, 1)
	go func() { served <- srv.Serve(l) }()
	select {
	case err := <-served:
		return trace.Wrap(err)
	case <-ctx.Done():
		return trace.Wrap(srv.Shutdown(context.Background()))
	}
}
