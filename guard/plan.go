// Package guard bounds what the clients of a process may occupy: connections, heads and
// bodies of requests, their decoded forms, and answers that are not read. Memory is reserved
// before it is used. When it or the places are exhausted, the slowest clients lose theirs
// first.
package guard

import (
	"math"
	"os"
	"runtime/debug"
	"syscall"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
)

// Plan is the size of the machine that a process may use. Each port of the process gets a
// fixed share of it. The zero value stands for the default machine.
type Plan struct {
	// Memory is the machine's memory in bytes.
	Memory int64
	// Descriptors is the number of files and connections that the process may have open.
	Descriptors int
	// Clock is the clock of the network's deadlines, nil for the real one.
	Clock clockwork.Clock
}

const (
	defaultMemory      = 1 << 30
	defaultDescriptors = 16_384

	// The ports of a process may hold an eighth of the machine's memory together: the Go heap
	// takes twice of what is live, and an idle process 30 MB of the smallest machine of 144 MB.
	heldFraction = 8
	// minHeld leaves room for the largest legal request on the smallest machine.
	minHeld = 8 << 20
	// connFraction is the part of the memory for the connections themselves, and connBytes
	// what one takes: two goroutines and the buffers of net/http.
	connFraction = 6
	connBytes    = 24 << 10
	// memoryLimitPercent is the memory at which the garbage collector no longer lets the
	// heap grow, in percent of the machine's. The program's own pages are not part of it, so
	// that a process stays under half.
	memoryLimitPercent = 40
	// ownDescriptors are kept for links, files and the calls of a process.
	ownDescriptors = 64
)

// Share is the part of a plan that a port gets.
type Share int

const (
	// Main is the share of the port that a process is there for.
	Main Share = iota
	// Side is the share of a port with a few clients, such as readiness checks.
	Side
)

// parts returns the part of the bytes and of the descriptors for a port with the share. A
// process has one Main and at most two Side ports.
func (s Share) parts() (bytes, descriptors float64) {
	if s == Main {
		return 3. / 4, 1. / 2
	}
	return 1. / 16, 1. / 16
}

func (p Plan) withDefaults() Plan {
	if p.Memory == 0 {
		p.Memory = defaultMemory
	}
	if p.Descriptors == 0 {
		p.Descriptors = defaultDescriptors
	}
	return p
}

// Limits are what the clients of one port may occupy.
type Limits struct {
	// Connections is the number of connections.
	Connections int
	// Bytes is the memory for heads, bodies, decoded forms and answers.
	Bytes int64
}

// Limits returns the limits of a port with the share.
func (p Plan) Limits(s Share) Limits {
	p = p.withDefaults()
	bytes, descriptors := s.parts()
	held := float64(max(p.Memory/heldFraction, minHeld))
	byMemory := float64(p.Memory/connFraction/connBytes) * descriptors / (1. / 2)
	return Limits{
		Connections: max(8, int(min(float64(p.Descriptors)*descriptors, byMemory))),
		Bytes:       int64(held * bytes),
	}
}

// Port returns the guard of a port with the share. The name stands in metrics and logs.
func (p Plan) Port(name string, s Share, log *zap.Logger) *Port {
	clock := p.Clock
	if clock == nil {
		clock = clockwork.NewRealClock()
	}
	if log == nil {
		log = zap.NewNop()
	}
	return NewPort(Options{Name: name, Limits: p.Limits(s), Clock: clock, Log: log})
}

// Check returns an error of type trace.BadParameter when the ports of a process and its own
// files need more descriptors than the machine has.
func (p Plan) Check() error {
	p = p.withDefaults()
	n := p.Limits(Main).Connections + 2*p.Limits(Side).Connections + ownDescriptors
	if n > p.Descriptors {
		return trace.BadParameter("the ports of the process may open %d descriptors, the machine has %d", n, p.Descriptors)
	}
	return nil
}

// Apply checks the plan and makes the garbage collector keep to it, where the machine's memory
// is known and the environment does not say otherwise (GOMEMLIMIT). It returns the plan with
// the descriptors that the operating system grants, if they are fewer.
func (p Plan) Apply(log *zap.Logger) (Plan, error) {
	p.Descriptors = p.withDefaults().Descriptors
	var lim syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &lim); err == nil && lim.Cur < uint64(p.Descriptors) {
		log.Warn("the operating system grants fewer descriptors than the settings", zap.Uint64("granted", lim.Cur), zap.Int("settings", p.Descriptors))
		p.Descriptors = int(min(lim.Cur, math.MaxInt32))
	}
	if err := p.Check(); err != nil {
		return p, err
	}
	if p.Memory > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(p.Memory / 100 * memoryLimitPercent)
	}
	return p, nil
}
