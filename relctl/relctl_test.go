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

// The exit codes that docs/RELCTL.md states.
const (
	done, other, usage, conflict, refused, unknown = 0, 1, 2, 3, 4, 5
)

// backend is one configuration that several servers share.
type backend struct {
	admin.Backend
	mu      sync.Mutex
	cfg     model.Config
	answers map[string]model.ChangeResult
	ids     []string // of all changes that arrived
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
		b.cfg, _ = b.cfg.With(model.Delta{From: v - 1, To: v, Items: []model.Item{i}})
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
	return admin.Status{Entry: "e1", Fresh: true, Keepers: admin.NodeCounts{Known: 3, Up: 1}, Targets: admin.TargetCounts{Up: 1}}
}

// bench is a deployment's keys, a backend and servers over it.
type bench struct {
	t *testing.T
	*backend
	folder keys.Folder
	flags  []string
	lose   atomic.Int32 // answers to changes that are still to be lost
}

func newBench(t *testing.T, servers int) *bench {
	b := &bench{t: t, folder: keys.Folder(filepath.Join(t.TempDir(), "tls")), backend: &backend{answers: map[string]model.ChangeResult{}}}
	for _, line := range []string{"ca tengri", "operator operator", "node e1 --role entry --address 127.0.0.1", "node a1 --role agent"} {
		code, out := run(strings.Fields("keys " + line + " --folder " + string(b.folder))...)
		assert.Equal(t, code, done, out)
	}
	b.flags = []string{"--ca", b.folder.Cert("ca"), "--cert", b.folder.Cert("operator"), "--key", b.folder.Key("operator"), "--attempts", "4"}
	for range servers {
		b.flags = append(b.flags, "--server", b.serve())
	}
	return b
}

// serve starts a server and returns its URL.
func (b *bench) serve() string {
	id, err := keys.Load(b.folder.Cert("ca"), b.folder.Cert("e1"), b.folder.Key("e1"))
	assert.NilError(b.t, err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b.t, err)
	srv := admin.NewServer(b.backend, id, clockwork.NewRealClock(), zap.NewNop())
	h := srv.Handler
	srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(w, r)
		if r.Method == http.MethodPost && b.lose.Add(-1) >= 0 {
			panic(http.ErrAbortHandler)
		}
	})
	go func() { _ = srv.ServeTLS(l, "", "") }()
	b.t.Cleanup(func() { _ = srv.Close() })
	return "https://" + l.Addr().String()
}

// run runs relctl and returns its exit code and all that it printed.
func run(args ...string) (int, string) {
	var out bytes.Buffer
	code := relctl.Main(args, &out, &out, clockwork.NewRealClock())
	return code, out.String()
}

// run runs a line of relctl against the servers.
func (b *bench) run(line string) (int, string) {
	return run(append(strings.Fields(line), b.flags...)...)
}

func TestChangesAndConflict(t *testing.T) {
	b := newBench(t, 1)
	code, out := b.run("rules set tags --work kind=tag --weight 2 --urgency 3")
	assert.Equal(t, code, done, out)
	assert.Assert(t, cmp.Regexp(`change ID [0-9a-f-]{36}\n`, out))
	assert.Equal(t, string(b.cfg.Item(model.ItemKey{Section: "rule", Name: "tags"}).Value),
		`{"work":"kind=tag","targets":"","order":0,"weight":2,"urgency":3}`)

	code, out = b.run("rules set tags --weight 5 --expect 0")
	assert.Equal(t, code, conflict)
	assert.Assert(t, strings.Contains(out, "is at count 1, not 0") && strings.Contains(out, "by operator"), out)

	for _, line := range []string{
		"rules set tags --weight 4", "rules delete tags", "labels set n --targets rack=r1 --set shift=night --remove spare",
		"drains set r1 --targets rack=r1 --reason switch", "teams set rinks --quota 40", "members add k4 --address 10.0.0.1:7 --data-centre d",
		"members replace k2 k5 --address 10.0.0.1:8 --data-centre d", "members remove k4",
	} {
		code, out = b.run(line)
		assert.Equal(t, code, done, "%s: %s", line, out)
	}
	assert.Equal(t, b.cfg.Version(), uint64(9))
}

func TestLostAnswerIsResentWithItsID(t *testing.T) {
	b := newBench(t, 2)
	b.lose.Store(1)
	code, out := b.run("drains set r1 --targets rack=r1")
	assert.Equal(t, code, done, out)
	assert.Equal(t, len(b.ids), 2)
	assert.Equal(t, b.ids[0], b.ids[1])
	assert.Equal(t, b.cfg.Version(), uint64(1))

	// By hand, as after an exit with the outcome unknown.
	code, out = b.run("drains set r1 --targets rack=r1 --change-id " + b.ids[0])
	assert.Equal(t, code, done, out)
	assert.Equal(t, b.cfg.Version(), uint64(1))
}

func TestOutcomeUnknown(t *testing.T) {
	b := newBench(t, 2)
	b.lose.Store(100)
	code, out := b.run("teams set rinks --quota 4")
	assert.Equal(t, code, unknown, out)
	assert.Equal(t, len(b.ids), 4)

	// A later certain refusal does not make an earlier lost answer certain.
	b.lose.Store(1)
	b.ids, b.err = nil, trace.LimitExceeded("no leader")
	code, out = b.run("teams set clubs --quota 4")
	assert.Equal(t, code, unknown, out)
}

func TestRefused(t *testing.T) {
	b := newBench(t, 1)
	b.err = trace.LimitExceeded("no leader")
	code, out := b.run("teams set rinks --quota 4")
	assert.Equal(t, code, refused, out)
	assert.Equal(t, len(b.ids), 4)

	code, out = run(append(append([]string{"drains", "list"}, b.flags...), "--cert", b.folder.Cert("a1"), "--key", b.folder.Key("a1"))...)
	assert.Equal(t, code, refused, out)
	assert.Assert(t, strings.Contains(out, "refused the certificate"), out)

	b.flags = append(b.flags[:len(b.flags)-2], "--server", "https://127.0.0.1:1")
	code, out = b.run("teams set rinks --quota 4 --expect 0")
	assert.Equal(t, code, refused, out)
}

func TestNextServerWhenOneIsDown(t *testing.T) {
	b := newBench(t, 0)
	b.flags = append(b.flags, "--server", "https://127.0.0.1:1", "--server", b.serve())
	code, out := b.run("rules list")
	assert.Equal(t, code, done, out)
}

func TestNextServerWhenOneIsSilent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }() // it never accepts
	b := newBench(t, 0)
	b.flags = append(b.flags, "--timeout", "4s", "--server", "https://"+l.Addr().String(), "--server", b.serve())
	code, out := b.run("drains set r1 --targets rack=r1")
	assert.Equal(t, code, done, out)
	assert.Equal(t, len(b.ids), 1)
}

func TestUsage(t *testing.T) {
	b := newBench(t, 1)
	for _, line := range []string{
		"", "rules", "rules paint", "rules set", "rules set a --weight x", "rules set a --weight 0", "rules set a/b",
		"rules set a --work =", "targets list a=b=c", "status now", "drains set a", "rules list --server http://127.0.0.1:1",
		"rules set a --change-id 7", "keys node x --role operator", "members add k4 --address host:1 --data-centre d",
	} {
		code, out := b.run(line)
		assert.Equal(t, code, usage, "%s: %s", line, out)
	}
	code, out := b.run("jobs show order/17")
	assert.Equal(t, code, other, out)
	code, out = run("--help")
	assert.Equal(t, code, done)
	assert.Assert(t, strings.Contains(out, "Exit codes"))
}

func TestReads(t *testing.T) {
	b := newBench(t, 1)
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
		code, out := b.run(line)
		assert.Equal(t, code, done, "%s: %s", line, out)
		assert.Assert(t, strings.Contains(out, want), "%s: %s", line, out)
	}
	for _, line := range []string{"rules list", "labels list", "drains list", "teams list", "targets list", "select", "jobs list", "members list", "status", "config history"} {
		code, out := b.run(line + " --json")
		assert.Equal(t, code, done, out)
		assert.Assert(t, json.Valid([]byte(out)), "%s: %s", line, out)
	}
}

func TestRenewWithoutRestart(t *testing.T) {
	b := newBench(t, 1)
	before, err := os.ReadFile(b.folder.Cert("e1"))
	assert.NilError(t, err)
	code, out := run("keys", "renew", b.folder.Cert("e1"), b.folder.Cert("operator"), "--folder", string(b.folder), "--days", "9")
	assert.Equal(t, code, done, out)
	after, err := os.ReadFile(b.folder.Cert("e1"))
	assert.NilError(t, err)
	assert.Assert(t, !bytes.Equal(before, after))
	id, err := keys.Load(b.folder.Cert("ca"), b.folder.Cert("e1"), b.folder.Key("e1"))
	assert.NilError(t, err)
	assert.Assert(t, id.NotAfter().Before(time.Now().Add(10*24*time.Hour)))
	code, out = b.run("rules list")
	assert.Equal(t, code, done, out)
	code, out = run("keys", "ca", "again", "--folder", string(b.folder))
	assert.Equal(t, code, other, out)
}

// TestPageNamesEveryCommand holds docs/RELCTL.md to the help.
func TestPageNamesEveryCommand(t *testing.T) {
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
