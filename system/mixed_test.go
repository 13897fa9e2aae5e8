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
	// mixedRounds is the default number of fault rounds of a run, mixedSeed its default seed.
	mixedRounds = 8
	mixedSeed   = 1
)

func envInt(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return fallback
}

// faultInjector injects one or two faults at a time, at most one of them at a keeper.
type faultInjector struct {
	d    *deployment
	o    *operator
	rand *rand.Rand
}

func (m *faultInjector) randomNode(role string, n int) string { return nodeName(role, m.rand.IntN(n)) }

// inject injects a random fault at a node and returns its description and a function
// that ends it.
func (m *faultInjector) inject(name string) (description string, end func()) {
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
		return "lost disk", func() { d.restart(name); m.o.waitRepaired() }
	}
	d.terminate(name)
	return "shutdown", func() { d.restart(name) }
}

// injectRound injects one fault, or one at a keeper together with one at another process,
// and ends them after a random time.
func (m *faultInjector) injectRound() {
	s := m.d.spec
	names := []string{m.randomNode("keeper", s.keepers)}
	other := m.randomNode("entry", s.entries)
	if m.rand.IntN(2) == 0 {
		other = m.randomNode("agent", s.targets)
	}
	switch m.rand.IntN(3) {
	case 0:
		names = []string{other}
	case 1:
		names = append(names, other)
	}
	var endFaults []func()
	for _, name := range names {
		description, endFault := m.inject(name)
		m.d.t.Logf("%s of %s", description, name)
		endFaults = append(endFaults, endFault)
	}
	time.Sleep(time.Duration(500+m.rand.IntN(5500)) * time.Millisecond)
	for _, end := range endFaults {
		end()
	}
	time.Sleep(time.Duration(m.rand.IntN(1000)) * time.Millisecond)
}

// TestMixedFaults injects random faults under load and checks the invariants of answers,
// starts and configuration at the end. RELAY_SEED and RELAY_ROUNDS choose another run.
func TestMixedFaults(t *testing.T) {
	seed := uint64(envInt("RELAY_SEED", mixedSeed))
	d := deploy(t, threeEntrySpec())
	m := &faultInjector{d: d, o: d.operator(), rand: rand.New(rand.NewPCG(seed, 0))}
	defer d.watchVersions()()
	l := d.load(seed, 2)
	n := 0
	stop := d.repeatInBackground(func() { m.o.change(fmt.Sprintf("team-%d", n%20)); n++ })
	for range envInt("RELAY_ROUNDS", mixedRounds) {
		m.injectRound()
		assert.Assert(t, !t.Failed())
	}
	stop()
	d.waitInForce(m.o.version)
	assert.Assert(t, l.stopAndCheck() > 0)
	m.o.checkConfig()
	t.Logf("seed %d: %d changes", seed, n)
}
