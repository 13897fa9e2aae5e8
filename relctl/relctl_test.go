package main_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"cyclamenrelay.example/admin"
	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/label"
	"cyclamenrelay.example/model"
	relctl "cyclamenrelay.example/relctl"
)

// Exit codes, as documented in docs/RELCTL.md.
const (
	exitDone, exitOther, exitUsage, exitConflict, exitRefused, exitUnknown = 0, 1, 2, 3, 4, 5
)

// backend is an admin.Backend with one configuration, shared by several servers.
type backend struct {
	admin.Backend
	mu      sync.Mutex
	cfg     model.Config
	answers map[string]model.ChangeResult
	ids     []string // change IDs of all requests that arrived
	err     error
}

func (b *backend) Config() model.Config {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cfg
}

func (b *backend) Change(_ context.Context, c model.Change) (model.ChangeResult, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ids = append(b.ids, c.ID)
	if r, ok := b.answers[c.ID]; ok || b.err != nil {
		return r, b.err
	}
	old := b.cfg.Item(c.Key)
	r := model.ChangeResult{Item: old, Version: b.cfg.Version(), Reason: "conflict"}
	if old.Count == c.Expected {
		v := b.cfg.Version() + 1
		i := model.Item{Key: c.Key, Count: old.Count + 1, Version: v, Value: c.Value, Operator: c.Operator, ChangeID: c.ID}
		b.cfg, _ = b.cfg.Apply(model.Delta{From: v - 1, To: v, Items: []model.Item{i}})
		r = model.ChangeResult{Accepted: true, Item: i, Version: v}
	}
	b.answers[c.ID] = r
	return r, nil
}

func (b *backend) ChangeMember(ctx context.Context, m admin.MemberChange) (model.ChangeResult, error) {
	k := model.ItemKey{Section: model.SectionMember, Name: m.Name}
	return b.Change(ctx, model.Change{ID: m.ID, Operator: m.Operator, Key: k, Expected: m.Expected, Value: []byte(`{}`)})
}

func (b *backend) History(context.Context, int) ([]model.Item, error) {
	return b.cfg.Items(model.SectionRule), nil
}

func (b *backend) Targets() []admin.TargetStatus {
	return []admin.TargetStatus{{Name: "t1", Labels: model.Labels{"rack": "r1"}, State: admin.TargetUp}}
}

func (b *backend) Queued(label.Selector) []admin.QueuedWork {
	return []admin.QueuedWork{{Labels: model.Labels{"kind": "tag"}, Tasks: 7}}
}

func (b *backend) Jobs(context.Context, string, int) ([]admin.JobStatus, error) {
	return []admin.JobStatus{{Key: "order/17", State: "running"}}, nil
}

func (b *backend) Job(_ context.Context, key string) (admin.JobStatus, error) {
	return admin.JobStatus{}, trace.NotFound("no job %s", key)
}

func (b *backend) CancelJob(_ context.Context, key, _ string) (admin.JobStatus, error) {
	return admin.JobStatus{Key: key, State: "cancelled"}, nil
}

func (b *backend) Members(context.Context) ([]admin.MemberStatus, error) {
	return []admin.MemberStatus{{Name: "k1", Member: model.Member{Voter: true}}}, nil
}

func (b *backend) Status(context.Context) admin.Status {
	return admin.Status{
		Entry: "e1", Fresh: true, Keepers: admin.NodeCounts{Known: 3, Up: 1}, Targets: admin.TargetCounts{Up: 1},
		Evacuations: []admin.Evacuation{{DataCentre: "dc9", Operator: "ann", Version: 4}},
	}
}

// testDeployment is a test deployment: its certificates, a backend, and servers for it.
type testDeployment struct {
	t *testing.T
	*backend
	folder        keys.Folder
	flags         []string
	answersToDrop atomic.Int32 // number of POST answers to drop
}

func newDeployment(t *testing.T, servers int) *testDeployment {
	d := &testDeployment{t: t, folder: keys.Folder(filepath.Join(t.TempDir(), "tls")), backend: &backend{answers: map[string]model.ChangeResult{}}}
	for _, line := range []string{"ca tengri", "operator operator", "node e1 --role entry --address 127.0.0.1", "node a1 --role agent"} {
		code, out := run(strings.Fields("keys " + line + " --folder " + string(d.folder))...)
		assert.Equal(t, code, exitDone, out)
	}
	d.flags = []string{"--ca", d.folder.Cert("ca"), "--cert", d.folder.Cert("operator"), "--key", d.folder.Key("operator"), "--attempts", "4"}
	for range servers {
		d.flags = append(d.flags, "--server", d.startServer())
	}
	return d
}

// startServer starts a server that drops the next d.answersToDrop POST answers, and returns its URL.
func (d *testDeployment) startServer() string {
	id, err := keys.Load(d.folder.Cert("ca"), d.folder.Cert("e1"), d.folder.Key("e1"))
	assert.NilError(d.t, err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(d.t, err)
	srv := admin.NewServer(d.backend, id, clockwork.NewRealClock(), zap.NewNop())
	h := srv.Handler
	srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(w, r)
		if r.Method == http.MethodPost && d.answersToDrop.Add(-1) >= 0 {
			panic(http.ErrAbortHandler)
		}
	})
	go func() { _ = srv.ServeTLS(l, "", "") }()
	d.t.Cleanup(func() { _ = srv.Close() })
	return "https://" + l.Addr().String()
}

// run runs relctl and returns its exit code and its combined output.
func run(args ...string) (int, string) {
	var out bytes.Buffer
	code := relctl.Main(args, &out, &out, clockwork.NewRealClock())
	return code, out.String()
}

// run runs a relctl command line against the servers.
func (d *testDeployment) run(line string) (int, string) {
	return run(append(strings.Fields(line), d.flags...)...)
}

func TestChangesAndConflict(t *testing.T) {
	d := newDeployment(t, 1)
	code, out := d.run("rules set tags --work kind=tag --weight 2 --urgency 3")
	assert.Equal(t, code, exitDone, out)
	assert.Assert(t, cmp.Regexp(`change ID [0-9a-f-]{36}\n`, out))
	assert.Equal(t, string(d.cfg.Item(model.ItemKey{Section: "rule", Name: "tags"}).Value),
		`{"work":"kind=tag","targets":"","order":0,"weight":2,"urgency":3}`)

	code, out = d.run("rules set tags --weight 5 --expect 0")
	assert.Equal(t, code, exitConflict)
	assert.Assert(t, strings.Contains(out, "is at count 1, not 0") && strings.Contains(out, "by operator"), out)

	for _, line := range []string{
		"rules set tags --weight 4", "rules delete tags", "labels set n --targets rack=r1 --set shift=night --remove spare",
		"drains set r1 --targets rack=r1 --reason switch", "teams set rinks --quota 40", "members add k4 --address 10.0.0.1:7 --data-centre d",
		"members replace k2 k5 --address 10.0.0.1:8 --data-centre d", "members remove k4",
	} {
		code, out = d.run(line)
		assert.Equal(t, code, exitDone, "%s: %s", line, out)
	}
	assert.Equal(t, d.cfg.Version(), uint64(9))
}

// Guards against an evacuation that is started or ended twice, and against one that names
// another requester than the server has seen.
func TestEvacuate(t *testing.T) {
	d := newDeployment(t, 1)
	key := model.ItemKey{Section: model.SectionEvacuation, Name: "dc1"}
	for i, x := range []struct {
		line, output string
		count        uint64
		active       bool
	}{
		{"evacuate --end dc1", "not evacuated", 0, false},
		{"evacuate dc1", "accepted", 1, true},
		{"evacuate dc1", "already evacuated", 1, true},
		{"evacuate --end dc1", "accepted", 2, false},
		{"evacuate --end dc1", "not evacuated", 2, false},
	} {
		code, out := d.run(x.line)
		assert.Assert(t, code == exitDone && strings.Contains(out, x.output), "%d: %d %s", i, code, out)
		item := d.cfg.Item(key)
		assert.Assert(t, item.Count == x.count && (item.Value != nil) == x.active, "%d: %+v", i, item)
		if x.active {
			var e model.Evacuation
			assert.NilError(t, json.Unmarshal(item.Value, &e))
			assert.Assert(t, strings.HasPrefix(e.Address, "127.0.0.1:") && !e.At.IsZero(), "%+v", e)
		}
	}
	code, _ := d.run("evacuate dc1 --expect 0")
	assert.Equal(t, code, exitConflict)
	code, _ = d.run("evacuate")
	assert.Equal(t, code, exitUsage)
	code, out := d.run("status")
	assert.Assert(t, code == exitDone && strings.Contains(out, "dc9 since version 4, requested by ann"), out)
}

func TestLostAnswerIsResentWithItsID(t *testing.T) {
	d := newDeployment(t, 2)
	d.answersToDrop.Store(1)
	code, out := d.run("drains set r1 --targets rack=r1")
	assert.Equal(t, code, exitDone, out)
	assert.Equal(t, len(d.ids), 2)
	assert.Equal(t, d.ids[0], d.ids[1])
	assert.Equal(t, d.cfg.Version(), uint64(1))

	// An operator resends the change by hand, as after the exit code for an unknown outcome.
	code, out = d.run("drains set r1 --targets rack=r1 --change-id " + d.ids[0])
	assert.Equal(t, code, exitDone, out)
	assert.Equal(t, d.cfg.Version(), uint64(1))
}

func TestOutcomeUnknownAfterLostAnswer(t *testing.T) {
	d := newDeployment(t, 2)
	d.answersToDrop.Store(100)
	code, out := d.run("teams set rinks --quota 4")
	assert.Equal(t, code, exitUnknown, out)
	assert.Equal(t, len(d.ids), 4)

	// The outcome stays unknown when an answer was lost and a later attempt is
	// refused as certainly not done.
	d.answersToDrop.Store(1)
	d.ids, d.err = nil, trace.LimitExceeded("no leader")
	code, out = d.run("teams set clubs --quota 4")
	assert.Equal(t, code, exitUnknown, out)
}

func TestRefusedExitCode(t *testing.T) {
	d := newDeployment(t, 1)
	d.err = trace.LimitExceeded("no leader")
	code, out := d.run("teams set rinks --quota 4")
	assert.Equal(t, code, exitRefused, out)
	assert.Equal(t, len(d.ids), 4)

	code, out = run(append(append([]string{"drains", "list"}, d.flags...), "--cert", d.folder.Cert("a1"), "--key", d.folder.Key("a1"))...)
	assert.Equal(t, code, exitRefused, out)
	assert.Assert(t, strings.Contains(out, "refused the certificate"), out)

	d.flags = append(d.flags[:len(d.flags)-2], "--server", "https://127.0.0.1:1")
	code, out = d.run("teams set rinks --quota 4 --expect 0")
	assert.Equal(t, code, exitRefused, out)
}

func TestNextServerWhenOneIsDown(t *testing.T) {
	d := newDeployment(t, 0)
	d.flags = append(d.flags, "--server", "https://127.0.0.1:1", "--server", d.startServer())
	code, out := d.run("rules list")
	assert.Equal(t, code, exitDone, out)
}

func TestNextServerAfterAttemptTimeout(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }() // the listener never accepts a connection
	d := newDeployment(t, 0)
	d.flags = append(d.flags, "--timeout", "4s", "--server", "https://"+l.Addr().String(), "--server", d.startServer())
	code, out := d.run("drains set r1 --targets rack=r1")
	assert.Equal(t, code, exitDone, out)
	assert.Equal(t, len(d.ids), 1)
}

func TestUsageErrors(t *testing.T) {
	d := newDeployment(t, 1)
	for _, line := range []string{
		"", "rules", "rules paint", "rules set", "rules set a --weight x", "rules set a --weight 0", "rules set a/b",
		"rules set a --work =", "targets list a=b=c", "status now", "drains set a", "rules list --server http://127.0.0.1:1",
		"rules set a --change-id 7", "keys node x --role operator", "members add k4 --address host:1 --data-centre d",
	} {
		code, out := d.run(line)
		assert.Equal(t, code, exitUsage, "%s: %s", line, out)
	}
	code, out := d.run("jobs show order/17")
	assert.Equal(t, code, exitOther, out)
	code, out = run("--help")
	assert.Equal(t, code, exitDone)
	assert.Assert(t, strings.Contains(out, "Exit codes"))
}

func TestReadCommands(t *testing.T) {
	d := newDeployment(t, 1)
	for line, want := range map[string]string{
		"targets list rack=r1":                     "1 of 1 targets",
		"targets list rack=r2 --state up":          "0 of 1 targets",
		"select --targets rack=r1 --work kind=tag": "7 queued tasks",
		"jobs list":                "order/17",
		"jobs cancel order/17":     "cancelled",
		"members list":             "k1",
		"config history --limit 3": "CHANGE ID",
		"status":                   "2 of 3 keepers are down: no majority",
		"completion bash":          "complete -F _relctl relctl",
	} {
		code, out := d.run(line)
		assert.Equal(t, code, exitDone, "%s: %s", line, out)
		assert.Assert(t, strings.Contains(out, want), "%s: %s", line, out)
	}
	for _, line := range []string{"rules list", "labels list", "drains list", "teams list", "targets list", "select", "jobs list", "members list", "status", "config history"} {
		code, out := d.run(line + " --json")
		assert.Equal(t, code, exitDone, out)
		assert.Assert(t, json.Valid([]byte(out)), "%s: %s", line, out)
	}
}

func TestRenewedCertificatesWork(t *testing.T) {
	d := newDeployment(t, 1)
	before, err := os.ReadFile(d.folder.Cert("e1"))
	assert.NilError(t, err)
	code, out := run("keys", "renew", d.folder.Cert("e1"), d.folder.Cert("operator"), "--folder", string(d.folder), "--days", "9")
	assert.Equal(t, code, exitDone, out)
	after, err := os.ReadFile(d.folder.Cert("e1"))
	assert.NilError(t, err)
	assert.Assert(t, !bytes.Equal(before, after))
	id, err := keys.Load(d.folder.Cert("ca"), d.folder.Cert("e1"), d.folder.Key("e1"))
	assert.NilError(t, err)
	assert.Assert(t, id.NotAfter().Before(time.Now().Add(10*24*time.Hour)))
	code, out = d.run("rules list")
	assert.Equal(t, code, exitDone, out)
	code, out = run("keys", "ca", "again", "--folder", string(d.folder))
	assert.Equal(t, code, exitOther, out)
}

// TestDocsListEveryCommand checks that docs/RELCTL.md names every command of the help.
func TestDocsListEveryCommand(t *testing.T) {
	page, err := os.ReadFile("../docs/RELCTL.md")
	assert.NilError(t, err)
	_, help := run("--help")
	_, list, _ := strings.Cut(help, "Available commands:")
	groups := regexp.MustCompile(`(?m)^  (\w+)`).FindAllStringSubmatch(list, -1)
	assert.Assert(t, len(groups) >= 13, help)
	for _, g := range groups {
		_, help := run(g[1], "--help")
		_, list, two := strings.Cut(help, "Available commands:")
		if !two {
			assert.Assert(t, strings.Contains(string(page), "relctl "+g[1]), g[1])
		}
		for _, c := range regexp.MustCompile(`(?m)^  (\w+)`).FindAllStringSubmatch(list, -1) {
			assert.Assert(t, strings.Contains(string(page), "relctl "+g[1]+" "+c[1]), "%s %s", g[1], c[1])
		}
	}
}
