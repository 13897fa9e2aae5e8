package system_test

import (
	"encoding/json"
	"fmt"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"cyclamenrelay.example/admin"
	"cyclamenrelay.example/fake"
	"cyclamenrelay.example/keys"
)

// Exit codes of relctl.
const (
	exitConflict = 3
	exitRefused  = 4
)

// pooledSpec describes a deployment in which each target has its own value of the
// label pool.
func pooledSpec() deploymentSpec {
	return deploymentSpec{
		dataCentres: almaty, keepers: 3, entries: 2, targets: 3, slots: 4,
		targetLabel: func(i int) string { return fmt.Sprintf("pool=p%d", i+1) },
	}
}

// mustRelctl runs relctl and expects success.
func (d *deployment) mustRelctl(entry int, args ...string) string {
	d.t.Helper()
	out, code := d.relctl(entry, args...)
	assert.Equal(d.t, code, 0, "relctl %v: %s", args, out)
	return out
}

// readJSON runs relctl with --json, expects success and decodes its output.
func readJSON[T any](d *deployment, entry int, args ...string) T {
	d.t.Helper()
	var v T
	out := d.mustRelctl(entry, append(args, "--json")...)
	assert.NilError(d.t, json.Unmarshal([]byte(out[strings.IndexAny(out, "{["):]), &v), out)
	return v
}

// tryReadJSON is like readJSON, for use while polling: ok is false if relctl fails or its output
// cannot be decoded.
func tryReadJSON[T any](d *deployment, entry int, args ...string) (v T, ok bool) {
	out, code := d.relctl(entry, append(args, "--json")...)
	at := strings.IndexAny(out, "{[")
	return v, code == 0 && at >= 0 && json.Unmarshal([]byte(out[at:]), &v) == nil
}

// eventually runs relctl repeatedly until wanted accepts its decoded output.
func eventually[T any](d *deployment, entry int, wanted func(T) bool, args ...string) {
	d.t.Helper()
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		v, ok := tryReadJSON[T](d, entry, args...)
		if ok && wanted(v) {
			return poll.Success()
		}
		return poll.Continue("entry-%d answers %v with %+v (ok %v)", entry, args, v, ok)
	}, poll.WithTimeout(startLimit), poll.WithDelay(50*time.Millisecond))
}

// waitConfigEverywhere waits until every entry and agent has at least the newest version of the
// configuration.
func (d *deployment) waitConfigEverywhere() {
	d.t.Helper()
	history := readJSON[admin.ConfigAnswer](d, 1, "config", "history", "--limit", "1")
	version := history.Items[0].Version
	for e := 1; e <= d.spec.entries; e++ {
		eventually(d, e, func(st admin.Status) bool { return st.Version >= version }, "status")
		eventually(d, e, func(a admin.TargetsAnswer) bool {
			return len(a.Targets) == d.spec.targets && !slices.ContainsFunc(a.Targets, func(t admin.TargetStatus) bool { return t.Version < version })
		}, "targets", "list")
	}
}

// sendMany sends n requests of a kind concurrently, to the entries in turn.
func (d *deployment) sendMany(kind string, n int) []answer {
	out := make([]answer, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { out[i] = d.request(i%d.spec.entries+1, kind, `{"runTime":"20ms"}`, nil) })
	}
	wg.Wait()
	return out
}

// targetsThatRan sends n requests of a kind, expects all to be complete, and returns the sorted
// names of the targets that ran them.
func (d *deployment) targetsThatRan(kind string, n int) []string {
	d.t.Helper()
	var on []string
	for _, a := range d.sendMany(kind, n) {
		assert.Equal(d.t, a.outcome, "complete", a.body)
		if t := a.header.Get("Relay-Target"); !slices.Contains(on, t) {
			on = append(on, t)
		}
	}
	slices.Sort(on)
	return on
}

func TestRuleSelectsTargets(t *testing.T) {
	d := deploy(t, pooledSpec())
	d.mustRelctl(1, "rules", "set", "tags", "--work", "kind=tag", "--targets", "pool in (p1,p3)")
	d.mustRelctl(2, "rules", "set", "rest", "--order", "9", "--targets", "pool=p2")
	d.waitConfigEverywhere()
	assert.DeepEqual(t, d.targetsThatRan("tag", 24), []string{"target-1", "target-3"})
	assert.DeepEqual(t, d.targetsThatRan("match", 24), []string{"target-2"})
	rules := readJSON[admin.ConfigAnswer](d, 2, "rules", "list")
	assert.Equal(t, len(rules.Items), 2)
	assert.Equal(t, rules.Items[1].Operator, "operator")
}

func TestOverlayMovesWork(t *testing.T) {
	d := deploy(t, pooledSpec())
	d.mustRelctl(1, "rules", "set", "tags", "--work", "kind=tag", "--targets", "desk=tags")
	d.mustRelctl(1, "labels", "set", "desk", "--targets", "pool=p1", "--set", "desk=tags")
	d.waitConfigEverywhere()
	assert.DeepEqual(t, d.targetsThatRan("tag", 12), []string{"target-1"})
	d.mustRelctl(2, "labels", "set", "desk", "--targets", "pool=p2", "--set", "desk=tags")
	d.waitConfigEverywhere()
	assert.DeepEqual(t, d.targetsThatRan("tag", 12), []string{"target-2"})
	d.mustRelctl(1, "labels", "delete", "desk")
	d.waitConfigEverywhere()
	for _, a := range d.sendMany("tag", 2) {
		assert.Equal(t, a.outcome, "notRun", a.body)
	}
}

func TestDrainStopsNewWork(t *testing.T) {
	d := deploy(t, pooledSpec())
	slow := make(chan answer, 3)
	for range 3 {
		go func() {
			slow <- d.request(1, "proof", `{"runTime":"4s"}`, map[string]string{"Relay-Selector": "pool=p2"})
		}()
	}
	started := func() (n int) {
		for _, r := range d.startLog() {
			if r.Event == fake.EventStart && r.Target == "target-2" {
				n++
			}
		}
		return n
	}
	eventually(d, 1, func(a admin.TargetsAnswer) bool { return len(a.Targets) == 1 && a.Targets[0].Free == 1 },
		"targets", "list", "pool=p2")
	d.mustRelctl(1, "drains", "set", "p2", "--targets", "pool=p2", "--reason", "new switch")
	d.waitConfigEverywhere()
	before := started()
	assert.DeepEqual(t, d.targetsThatRan("tag", 30), []string{"target-1", "target-3"})
	assert.Equal(t, started(), before)
	list := readJSON[admin.TargetsAnswer](d, 2, "targets", "list", "--state", "draining")
	assert.Equal(t, len(list.Targets), 1)
	assert.Equal(t, list.Targets[0].Name, "target-2")
	for range 3 {
		a := <-slow
		assert.Equal(t, a.outcome, "complete", a.body)
		assert.Equal(t, a.header.Get("Relay-Target"), "target-2")
	}
}

func TestOperatorsRace(t *testing.T) {
	d := deploy(t, pooledSpec())
	d.issueCert("second", keys.Operator)
	type result struct {
		out  string
		code int
	}
	results := make([]result, 2)
	var wg sync.WaitGroup
	for i, name := range []string{"operator", "second"} {
		wg.Go(func() {
			out, code := d.relctlAs(name, i+1, "rules", "set", "tags", "--weight", fmt.Sprint(i+2), "--expect", "0")
			results[i] = result{out, code}
		})
	}
	wg.Wait()
	won, lost := results[0], results[1]
	winner := "operator"
	if lost.code == 0 {
		won, lost, winner = lost, won, "second"
	}
	assert.Equal(t, won.code, 0, won.out)
	assert.Equal(t, lost.code, exitConflict, lost.out)
	assert.Assert(t, strings.Contains(lost.out, "by "+winner), lost.out)
	d.waitConfigEverywhere()
	item := readJSON[admin.ConfigAnswer](d, 1, "rules", "list").Items[0]
	assert.Equal(t, item.Operator, winner)
	assert.Equal(t, item.Count, uint64(1))
}

func TestResentChange(t *testing.T) {
	d := deploy(t, pooledSpec())
	id := uuid.NewString()
	first := readJSON[admin.ChangeAnswer](d, 1, "rules", "set", "tags", "--weight", "2", "--expect", "0", "--change-id", id)
	d.mustRelctl(2, "rules", "set", "tags", "--weight", "3", "--expect", "1")
	again := readJSON[admin.ChangeAnswer](d, 2, "rules", "set", "tags", "--weight", "2", "--expect", "0", "--change-id", id)
	assert.DeepEqual(t, again, first)
	history := readJSON[admin.ConfigAnswer](d, 2, "config", "history")
	assert.Equal(t, len(history.Items), 2)
	assert.Equal(t, string(history.Items[1].ChangeID), id)
	assert.Equal(t, history.Items[0].Count, uint64(2))
}

func TestDryRunShowsMatches(t *testing.T) {
	d := deploy(t, pooledSpec())
	d.mustRelctl(1, "drains", "set", "all", "--targets", "")
	d.mustRelctl(1, "rules", "set", "busy", "--work", "kind=tag", "--targets", "pool=p1")
	d.mustRelctl(1, "drains", "delete", "all")
	d.waitConfigEverywhere()
	done := make(chan answer, 10)
	for range 10 {
		go func() { done <- d.request(1, "tag", `{"runTime":"1s"}`, nil) }()
	}
	eventually(d, 1, func(a admin.SelectAnswer) bool { return a.MatchedTasks > 0 && a.Matched == 2 && a.Known == 3 },
		"select", "--targets", "pool!=p1", "--work", "kind=tag")
	none := readJSON[admin.SelectAnswer](d, 1, "select", "--targets", "pool=p9", "--work", "kind=proof")
	assert.Equal(t, none.Matched+none.MatchedTasks, 0)
	_, code := d.relctl(1, "select", "--targets", "pool in (")
	assert.Equal(t, code, 2)
	for range 10 {
		a := <-done
		assert.Equal(t, a.outcome, "complete", a.body)
	}
}

func TestOperatorsSeeAndCancel(t *testing.T) {
	d := deploy(t, pooledSpec())
	eventually(d, 1, func(members []admin.MemberStatus) bool {
		leads := 0
		for i, m := range members {
			if m.Name != fmt.Sprintf("keeper-%d", i+1) || !m.Up || !m.Voter || m.Address != d.join[i] {
				return false
			}
			leads += m.Leads
		}
		return len(members) == 3 && leads == 5
	}, "members", "list")
	eventually(d, 2, func(st admin.Status) bool {
		return st.Fresh && st.Keepers == admin.NodeCounts{Known: 3, Up: 3} && st.Entries == admin.NodeCounts{Known: 2, Up: 2} &&
			st.Targets.Up == 3 && st.Targets.Slots == 12
	}, "status")
	for _, key := range []string{"long-1", "long-2"} {
		a, _ := d.job(1, "POST", "", jobBody(key, 40, "2s"))
		assert.Equal(t, a.status, 202, a.body)
	}
	list := readJSON[[]admin.JobStatus](d, 2, "jobs", "list", "--state", "running")
	assert.Equal(t, len(list), 2)
	assert.Equal(t, list[0].Owner, "entry-1")
	cancelled := readJSON[admin.JobStatus](d, 2, "jobs", "cancel", "long-1")
	assert.Equal(t, cancelled.Key, "long-1")
	eventually(d, 1, func(j admin.JobStatus) bool { return j.State != "" && j.State != "running" }, "jobs", "show", "long-1")
	assert.Equal(t, readJSON[admin.JobStatus](d, 1, "jobs", "show", "long-2").State, "running")
	d.mustRelctl(1, "jobs", "cancel", "long-2")
	_, code := d.relctl(1, "jobs", "show", "none")
	assert.Equal(t, code, 1)
}

func TestOtherRolesAreRefused(t *testing.T) {
	d := deploy(t, pooledSpec())
	for _, name := range []string{"entry-2", "keeper-1", "agent-1"} {
		out, code := d.relctlAs(name, 1, "--attempts", "1", "drains", "set", "all", "--targets", "")
		assert.Assert(t, code != 0, out)
		out, code = d.relctlAs(name, 1, "--attempts", "1", "targets", "list")
		assert.Equal(t, code, exitRefused, out)
	}
	assert.Equal(t, len(readJSON[admin.ConfigAnswer](d, 1, "config", "history").Items), 0)
}

// relctlAs runs relctl against an entry with the named certificate, and returns its
// combined output and exit code.
func (d *deployment) relctlAs(name string, entry int, args ...string) (string, int) {
	all := append([]string{
		"--server", "https://" + d.operatorsAddr(entry), "--ca", d.path("ca.pem"),
		"--cert", d.path(name + ".pem"), "--key", d.path(name + "-key.pem"),
	}, args...)
	cmd := exec.Command(filepath.Join(programDir, "relctl"), all...)
	out, err := cmd.CombinedOutput()
	if err != nil && cmd.ProcessState == nil {
		d.t.Error(err)
		return "", -1
	}
	return string(out), cmd.ProcessState.ExitCode()
}
