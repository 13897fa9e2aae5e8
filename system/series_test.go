package system_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// seriesRounds and seriesCatchUp, in seconds, are the defaults of a run, chosen for
	// a machine that also runs other tests.
	seriesRounds  = 5
	seriesCatchUp = 8
	seriesSeed    = 1
)

// keeperSeries loses keepers of a deployment with automatic members one after the
// other, each as soon as the one before no longer counts as lost.
type keeperSeries struct {
	d       *deployment
	rand    *rand.Rand
	catchUp time.Duration
	running []string
	free    []string // names of keepers that do not run and have no data
}

func (s *keeperSeries) pause(most time.Duration) {
	time.Sleep(time.Duration(s.rand.Int64N(int64(most))))
}

// pick returns a running keeper.
func (s *keeperSeries) pick() string { return s.running[s.rand.IntN(len(s.running))] }

// startSuccessor starts a keeper without data, under a name that is in no use.
func (s *keeperSeries) startSuccessor() string {
	name := s.free[0]
	s.free = s.free[1:]
	s.d.newKeeper(name)
	s.running = append(s.running, name)
	return name
}

// forget notes that a keeper has ended for good.
func (s *keeperSeries) forget(name string) {
	assert.NilError(s.d.t, os.RemoveAll(s.d.path(name)))
	s.running = slices.DeleteFunc(s.running, func(n string) bool { return n == name })
	s.free = append(s.free, name)
}

// lose loses one keeper, or replaces one as planned while another is lost, and returns
// once it is back or its successor has started.
func (s *keeperSeries) lose() string {
	d, name := s.d, s.pick()
	switch s.rand.IntN(5) {
	case 0:
		d.kill(name)
		s.forget(name)
		s.pause(1500 * time.Millisecond)
		return fmt.Sprintf("%s is lost, %s starts", name, s.startSuccessor())
	case 1:
		next := s.startSuccessor()
		time.Sleep(s.catchUp)
		other := name
		for other == name {
			other = s.pick()
		}
		d.signal(name, syscall.SIGTERM)
		d.kill(other)
		s.forget(other)
		d.terminate(name)
		s.forget(name)
		s.pause(1500 * time.Millisecond)
		return fmt.Sprintf("%s replaces %s, meanwhile %s is lost, %s starts", next, name, other, s.startSuccessor())
	case 2:
		d.kill(name)
		s.pause(4 * time.Second)
		d.restart(name)
		return name + " is killed and restarts"
	case 3:
		d.signal(name, syscall.SIGSTOP)
		s.pause(4 * time.Second)
		d.signal(name, syscall.SIGCONT)
		return name + " freezes and thaws"
	}
	d.wipe(name)
	s.pause(1500 * time.Millisecond)
	d.restart(name)
	return name + " loses its disk"
}

// Guards against a configuration group that loses its quorum for good in a series of
// losses, each of which the settings allow. RELAY_SEED, RELAY_ROUNDS and
// RELAY_CATCH_UP, in seconds, choose another run.
func TestKeepersLostInSeries(t *testing.T) {
	seed := envInt("RELAY_SEED", seriesSeed)
	catchUp := envInt("RELAY_CATCH_UP", seriesCatchUp)
	spec := smallSpec()
	spec.inMemory = true
	spec.editSettings = func(role string, settings map[string]any) {
		if role != "keeper" {
			return
		}
		k, ok := settings["keeper"].(map[string]any)
		if !ok {
			k = map[string]any{}
			settings["keeper"] = k
		}
		k["autoMembers"], k["tolerance"], k["catchUp"] = true, 1, fmt.Sprintf("%ds", catchUp)
	}
	d := deploy(t, spec)
	s := &keeperSeries{d: d, rand: rand.New(rand.NewPCG(uint64(seed), 5)), catchUp: time.Duration(catchUp) * time.Second}
	for i := range spec.keepers {
		s.running = append(s.running, nodeName("keeper", i))
	}
	for i := range spareKeepers {
		name := nodeName("keeper", spec.keepers+i)
		s.free = append(s.free, name)
		d.join = append(d.join, d.relay.Addr(name).String())
	}
	o := d.operator()
	o.useHTTPS()
	defer d.watchVersions()()
	l := d.load(uint64(seed), 2)
	n := 0
	stop := d.repeatInBackground(func() {
		o.change(fmt.Sprintf("team-%d", n%20))
		n++
		time.Sleep(20 * time.Millisecond)
	})
	for range envInt("RELAY_ROUNDS", seriesRounds) {
		t.Log(s.lose())
		time.Sleep(s.catchUp)
		assert.Assert(t, !t.Failed())
	}
	stop()
	d.waitInForce(o.version)
	assert.Assert(t, l.stopAndCheck() > 0)
	o.checkConfig()
	t.Logf("seed %d: %d changes", seed, n)
}
