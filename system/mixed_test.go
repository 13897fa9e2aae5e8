package system_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// mixedRounds is the default number of faults of a run, mixedSeed its seed.
	mixedRounds = 8
	mixedSeed   = 1
)

func setting(name string, normal int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return normal
}

// mixer injects one fault at a time, at most one keeper down at once, and two
// faults at a time in between.
type mixer struct {
	d    *deployment
	o    *operator
	rand *rand.Rand
}

func (m *mixer) node(role string, n int) string { return nodeName(role, m.rand.IntN(n)) }

// fault starts a random fault at a node and returns what ends it.
func (m *mixer) fault(name string) (what string, end func()) {
	d := m.d
	keeper := name[:6] == "keeper"
	switch m.rand.IntN(4) {
	case 0:
		d.kill(name)
		return "kill -9", func() { d.restart(name) }
	case 1:
		d.isolate(name, "")
		return "cut", func() { d.rejoin(name, "") }
	case 2:
		d.signal(name, syscall.SIGSTOP)
		return "freeze", func() { d.signal(name, syscall.SIGCONT) }
	}
	if keeper {
		d.wipe(name)
		return "lost disk", func() { d.restart(name); m.o.repaired() }
	}
	d.terminate(name)
	return "shutdown", func() { d.restart(name) }
}

// round has one fault, or one of a keeper together with one of another process.
func (m *mixer) round() {
	s := m.d.shape
	names := []string{m.node("keeper", s.keepers)}
	other := m.node("entry", s.entries)
	if m.rand.IntN(2) == 0 {
		other = m.node("agent", s.targets)
	}
	switch m.rand.IntN(3) {
	case 0:
		names = []string{other}
	case 1:
		names = append(names, other)
	}
	var ends []func()
	for _, name := range names {
		what, end := m.fault(name)
		m.d.t.Logf("%s of %s", what, name)
		ends = append(ends, end)
	}
	time.Sleep(time.Duration(500+m.rand.IntN(5500)) * time.Millisecond)
	for _, end := range ends {
		end()
	}
	time.Sleep(time.Duration(m.rand.IntN(1000)) * time.Millisecond)
}

// TestMixedFaults runs random faults under load and checks at the end what must
// always hold. RELAY_SEED and RELAY_ROUNDS choose another run.
func TestMixedFaults(t *testing.T) {
	seed := uint64(setting("RELAY_SEED", mixedSeed))
	d := deploy(t, three())
	m := &mixer{d: d, o: d.operator(), rand: rand.New(rand.NewPCG(seed, 0))}
	defer d.watchVersions()()
	l := d.load(seed, 2)
	n := 0
	stop := d.during(func() { m.o.change(fmt.Sprintf("team-%d", n%20)); n++ })
	for range setting("RELAY_ROUNDS", mixedRounds) {
		m.round()
		assert.Assert(t, !t.Failed())
	}
	stop()
	d.inForce(m.o.version)
	assert.Assert(t, l.end() > 0)
	m.o.check()
	t.Logf("seed %d: %d changes", seed, n)
}
