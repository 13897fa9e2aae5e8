package system_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cyclamenrelay.example/fault"
	"cyclamenrelay.example/units"
)

// chaos injects random faults one after another and ends each before the next.
type chaos struct {
	d      *deployment
	t      *testing.T
	rnd    *rand.Rand
	relays map[string]*fault.Relay
}

func (c *chaos) randomNode(role string, n int) string {
	return fmt.Sprintf("%s-%d", role, 1+c.rnd.IntN(n))
}

func (c *chaos) wait() { sleep(c.t, time.Duration(200+c.rnd.IntN(1800))*time.Millisecond) }

func (c *chaos) kill(name string) {
	c.t.Logf("kill %s", name)
	c.d.kill(name)
	c.wait()
	c.d.restart(name)
}

func (c *chaos) freeze(name string) {
	c.t.Logf("freeze %s", name)
	c.d.signal(name, syscall.SIGSTOP)
	c.wait()
	c.d.signal(name, syscall.SIGCONT)
}

func (c *chaos) shutdown(name string) {
	c.t.Logf("shutdown %s", name)
	c.d.signal(name, syscall.SIGTERM)
	<-c.d.proc(name).done
	c.wait()
	c.d.restart(name)
}

func (c *chaos) impairLink(agent, entry string, r fault.Rule) {
	c.t.Logf("link of %s to %s: %+v", agent, entry, r)
	source := c.d.setting(agent, "node", "listen")
	assert.NilError(c.t, c.relays[entry].SetSourceRules("entry", source, fault.Rules{Forward: r, Backward: r}))
	c.wait()
	assert.NilError(c.t, c.relays[entry].ClearSourceRules("entry", source))
}

func (c *chaos) injectFault() {
	s := c.d.spec
	agent, entry := c.randomNode("agent", s.targets), c.randomNode("entry", s.entries)
	switch c.rnd.IntN(8) {
	case 0:
		c.kill(c.randomNode("target", s.targets))
	case 1:
		c.kill(agent)
	case 2:
		c.shutdown(agent)
	case 3:
		c.freeze(c.randomNode("target", s.targets))
	case 4:
		c.freeze(agent)
	case 5:
		c.kill(entry)
	case 6:
		c.impairLink(agent, entry, fault.Rule{Cut: true})
	case 7:
		c.impairLink(agent, entry, fault.Rule{
			Loss: 0.1, Duplicate: 0.1, Reorder: 0.2, Delay: units.Duration(time.Millisecond), Jitter: units.Duration(20 * time.Millisecond),
		})
	}
}

// TestLongRunOfFaults injects random faults, two at a time, under load. At the end
// every answer is checked against the start logs, and each entry must serve requests.
func TestLongRunOfFaults(t *testing.T) {
	const runTime, seed = 40 * time.Second, 7
	s := deploymentSpec{dataCentres: almaty, keepers: 3, entries: 2, targets: 4, slots: 8}
	relays := map[string]*fault.Relay{}
	s.editSettings = func(role string, settings map[string]any) {
		if role != "entry" {
			return
		}
		node := settings["node"].(map[string]any)
		r, err := fault.New([]fault.Link{{Name: "entry", Network: "udp", Listen: "127.0.0.1:0", To: node["listen"].(string)}},
			clockwork.NewRealClock(), seed)
		assert.NilError(t, err)
		t.Cleanup(r.Close)
		node["advertise"] = r.Addr("entry").String()
		relays[node["name"].(string)] = r
	}
	d := deploy(t, s)
	f := d.flow("chaos", 16, seed)
	var wg sync.WaitGroup
	end := time.Now().Add(runTime)
	// Two sequences of faults run at once, the second for keepers only, so that no two
	// faults act on the same process.
	for i, kinds := range [][]func(*chaos){
		{func(c *chaos) { c.injectFault() }},
		{func(c *chaos) { c.kill(c.randomNode("keeper", 1)) }, func(c *chaos) { c.wait() }, func(c *chaos) { c.wait() }},
	} {
		c := &chaos{d: d, t: t, rnd: rand.New(rand.NewPCG(seed, uint64(i))), relays: relays}
		wg.Go(func() {
			for time.Now().Before(end) {
				kinds[c.rnd.IntN(len(kinds))](c)
				c.wait()
			}
		})
	}
	wg.Wait()
	sleep(t, 3*time.Second)
	f.end()
	count, _ := f.checkAnswers()
	assert.Assert(t, count["complete"] > 500, "%v", count)
	d.waitReady()
}
