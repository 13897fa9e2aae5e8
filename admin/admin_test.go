package admin_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"cyclamenrelay.example/admin"
	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/label"
	"cyclamenrelay.example/model"
)

const changeID = "0b9b2f0e-6d3c-4c39-8f65-5b3c0a3b7c11"

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// backend is a fake admin.Backend with one configuration; methods that no test
// needs panic.
type backend struct {
	admin.Backend
	cfg          model.Config
	changes      []model.Change
	members      []admin.MemberChange
	err          error
	cancelledKey string
}

func (b *backend) Config() model.Config { return b.cfg }

func (b *backend) Change(_ context.Context, c model.Change) (model.ChangeResult, error) {
	if b.err != nil {
		return model.ChangeResult{}, b.err
	}
	b.changes = append(b.changes, c)
	old := b.cfg.Item(c.Key)
	if old.Count != c.Expected {
		return model.ChangeResult{Item: old, Version: b.cfg.Version(), Reason: "conflict"}, nil
	}
	v := b.cfg.Version() + 1
	i := model.Item{Key: c.Key, Count: old.Count + 1, Version: v, Value: c.Value, Operator: c.Operator, ChangeID: c.ID}
	b.cfg, _ = b.cfg.Apply(model.Delta{From: v - 1, To: v, Items: []model.Item{i}})
	return model.ChangeResult{Accepted: true, Item: i, Version: v}, nil
}

func (b *backend) ChangeMember(_ context.Context, m admin.MemberChange) (model.ChangeResult, error) {
	b.members = append(b.members, m)
	return model.ChangeResult{Accepted: true}, b.err
}

func (b *backend) Targets() []admin.TargetStatus {
	return []admin.TargetStatus{
		{Name: "t2", Labels: model.Labels{"rack": "r2"}, State: admin.TargetDraining},
		{Name: "t1", Labels: model.Labels{"rack": "r1"}, State: admin.TargetUp},
	}
}

func (b *backend) Queued(s label.Selector) []admin.QueuedWork {
	if !s.Matches(model.Labels{"kind": "tag"}) {
		return nil
	}
	return []admin.QueuedWork{{Labels: model.Labels{"kind": "tag"}, Tasks: 7}}
}

func (b *backend) CancelJob(_ context.Context, key, _ string) (admin.JobStatus, error) {
	b.cancelledKey = key
	return admin.JobStatus{Key: key}, b.err
}

// callerWithRole returns a function that sends requests to the handler with a client
// certificate of the role.
func callerWithRole(t testing.TB, b admin.Backend, role keys.Role) func(method, path, body string) *httptest.ResponseRecorder {
	ca, err := keys.NewCA("test", now, time.Hour)
	assert.NilError(t, err)
	p, err := ca.Issue("aru", []keys.Role{role}, now, time.Hour)
	assert.NilError(t, err)
	block, _ := pem.Decode(p.Cert)
	cert, err := x509.ParseCertificate(block.Bytes)
	assert.NilError(t, err)
	h := admin.NewHandler(b, clockwork.NewFakeClockAt(now), zap.NewNop())
	return func(method, path, body string) *httptest.ResponseRecorder {
		r := httptest.NewRequest(method, path, strings.NewReader(body))
		r.TLS = &tls.ConnectionState{PeerCertificates: []*x509.Certificate{cert}}
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		return w
	}
}

func decode[T any](t *testing.T, w *httptest.ResponseRecorder) (v T) {
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &v), w.Body.String())
	return v
}

func changeBody(name, section string, expected, value string) string {
	return `{"id":"` + changeID + `","section":"` + section + `","name":"` + name + `","expected":` + expected + `,"value":` + value + `}`
}

func TestChangeAndConflict(t *testing.T) {
	b := &backend{}
	call := callerWithRole(t, b, keys.Operator)
	body := changeBody("tags", "rule", "0", `{"work":"kind=tag","targets":"","order":0,"weight":2}`)
	w := call("POST", "/v1/changes", body)
	assert.Equal(t, w.Code, http.StatusOK, w.Body.String())
	assert.Equal(t, decode[admin.ChangeAnswer](t, w).Item.Operator, "aru")
	assert.Equal(t, b.changes[0].Operator, "aru")

	w = call("POST", "/v1/changes", body)
	assert.Equal(t, w.Code, http.StatusConflict)
	assert.Equal(t, decode[admin.ChangeAnswer](t, w).Item.Count, uint64(1))

	assert.Equal(t, call("POST", "/v1/changes", changeBody("tags", "rule", "1", "null")).Code, http.StatusOK)
	got := decode[admin.ConfigAnswer](t, call("GET", "/v1/config?section=rule", ""))
	assert.Equal(t, len(got.Items), 0)
	got = decode[admin.ConfigAnswer](t, call("GET", "/v1/config?section=rule&name=tags", ""))
	assert.Equal(t, got.Items[0].Count, uint64(2))
}

func TestInvalidBodiesAreRefused(t *testing.T) {
	b := &backend{}
	call := callerWithRole(t, b, keys.Operator)
	for body, field := range map[string]string{
		``:                     "",
		`{"id":"x"} {}`:        "",
		`{"operator":"other"}`: "",
		`{"id":"x"}`:           "id",
		changeBody("a/b", "rule", "0", `{"weight":1}`):                           "name",
		changeBody("a", "member", "0", `{}`):                                     "section",
		changeBody("a", "rule", "0", `{"weight":1,"wait":2}`):                    "value",
		changeBody("a", "rule", "0", `{"weight":0}`):                             "value.weight",
		changeBody("a", "rule", "0", `{"weight":1,"work":"a in"}`):               "value.work",
		changeBody("a", "rule", "0", `{"weight":1,"urgency":10}`):                "value.urgency",
		changeBody("a", "overlay", "0", `{"targets":"","set":{"a b":"c"}}`):      "value.set",
		changeBody("a", "overlay", "0", `{"targets":"a=b=c","remove":["x"]}`):    "value.targets",
		changeBody("a", "team", "0", `{"quota":-1,"weight":1}`):                  "value.quota",
		changeBody("a", "drain", "0", `"`+strings.Repeat("x", maxBodyBytes)+`"`): "",
	} {
		w := call("POST", "/v1/changes", body)
		assert.Equal(t, w.Code, http.StatusBadRequest, body)
		a := decode[admin.ErrorAnswer](t, w)
		assert.Equal(t, a.Field, field, "%s: %s", body[:min(len(body), 200)], a.Error)
		assert.Assert(t, a.Error != "")
	}
	assert.Equal(t, len(b.changes), 0)
}

const maxBodyBytes = 64 << 10

func TestOnlyOperatorsAreAdmitted(t *testing.T) {
	call := callerWithRole(t, &backend{}, keys.Agent)
	assert.Equal(t, call("GET", "/v1/config?section=rule", "").Code, http.StatusForbidden)
	w := httptest.NewRecorder()
	h := admin.NewHandler(&backend{}, clockwork.NewFakeClock(), zap.NewNop())
	h.ServeHTTP(w, httptest.NewRequest("GET", "/v1/targets", nil))
	assert.Equal(t, w.Code, http.StatusForbidden)
}

func TestStatusCodesOfErrors(t *testing.T) {
	b := &backend{}
	call := callerWithRole(t, b, keys.Operator)
	for code, err := range map[int]error{
		http.StatusNotFound:           trace.NotFound("no job"),
		http.StatusServiceUnavailable: trace.LimitExceeded("no leader"),
		http.StatusNotImplemented:     trace.NotImplemented("later"),
		http.StatusGatewayTimeout:     trace.Wrap(context.DeadlineExceeded),
	} {
		b.err = err
		w := call("DELETE", "/v1/jobs/order%2F17", "")
		assert.Equal(t, w.Code, code)
		assert.Equal(t, b.cancelledKey, "order/17")
	}
}

func TestSelectAndTargets(t *testing.T) {
	call := callerWithRole(t, &backend{}, keys.Operator)
	s := decode[admin.SelectAnswer](t, call("GET", "/v1/select?targets=rack%3Dr1&work=kind%3Dtag", ""))
	assert.Equal(t, s.Matched, 1)
	assert.Equal(t, s.Known, 2)
	assert.Equal(t, s.Targets[0].Name, "t1")
	assert.Equal(t, s.MatchedTasks, 7)
	s = decode[admin.SelectAnswer](t, call("GET", "/v1/select?work=kind%3Dmatch&limit=1", ""))
	assert.Equal(t, s.MatchedTasks, 0)
	assert.Equal(t, s.Matched, 2)
	assert.Equal(t, len(s.Targets), 1)
	ts := decode[admin.TargetsAnswer](t, call("GET", "/v1/targets?state=draining", ""))
	assert.Equal(t, ts.Targets[0].Name, "t2")
	for _, q := range []string{"targets?selector=a+in", "targets?limit=0", "select?work=%3D", "config?section=x", "jobs?limit=x", "targets?a=%zz"} {
		assert.Equal(t, call("GET", "/v1/"+q, "").Code, http.StatusBadRequest, q)
	}
}

func TestMemberChanges(t *testing.T) {
	b := &backend{}
	call := callerWithRole(t, b, keys.Operator)
	postMember := func(rest string) int {
		return call("POST", "/v1/members", `{"id":"`+changeID+`","expected":0,`+rest+`}`).Code
	}
	assert.Equal(t, postMember(`"action":"replace","name":"k5","replaces":"k2","address":"10.0.0.1:7400","dataCentre":"portland"`), 200)
	assert.Equal(t, postMember(`"action":"remove","name":"k5"`), 200)
	for _, rest := range []string{
		`"action":"replace","name":"k5","address":"10.0.0.1:7400","dataCentre":"portland"`,
		`"action":"replace","name":"k5","replaces":"k5","address":"10.0.0.1:7400","dataCentre":"portland"`,
		`"action":"add","name":"k5","address":"host:7400","dataCentre":"portland"`,
		`"action":"add","name":"k5","address":"10.0.0.1:7400"`,
		`"action":"destroy","name":"k5"`,
	} {
		assert.Equal(t, postMember(rest), http.StatusBadRequest, rest)
	}
	assert.Equal(t, len(b.members), 2)
	assert.Equal(t, b.members[0].Operator, "aru")
}

func TestDiagnose(t *testing.T) {
	healthy := admin.Status{
		Fresh: true, Keepers: admin.NodeCounts{Known: 3, Up: 3}, Entries: admin.NodeCounts{Known: 3, Up: 3},
		Targets: admin.TargetCounts{Up: 11, Slots: 88, Free: 5}, CertificateEnds: now.Add(90 * 24 * time.Hour),
	}
	assert.Equal(t, len(admin.Diagnose(healthy, now)), 0)
	degraded := healthy
	degraded.Keepers.Up, degraded.Targets.Probation, degraded.CertificateEnds = 2, 1, now.Add(time.Hour)
	problems := admin.Diagnose(degraded, now)
	assert.Equal(t, len(problems), 3)
	assert.Assert(t, problems[0].Severe && strings.Contains(problems[0].Description, "one more loss"))
	degraded.Keepers.Up, degraded.Fresh = 1, false
	problems = admin.Diagnose(degraded, now)
	assert.Assert(t, problems[0].Severe && problems[1].Severe && strings.Contains(problems[1].Description, "no majority"))
}

// FuzzBodies sends arbitrary bytes as the bodies of changes. Invalid ones must be
// refused with a reason, and the changes that reach the backend must be valid.
func FuzzBodies(f *testing.F) {
	f.Add(changeBody("tags", "rule", "0", `{"work":"kind=tag","weight":2,"urgency":3}`))
	f.Add(changeBody("n", "overlay", "1", `{"targets":"rack=r1","set":{"shift":"night"},"remove":["spare"]}`))
	f.Add(changeBody("d", "drain", "1", `null`))
	f.Add(`{"id":"` + changeID + `","action":"add","name":"k4","address":"10.0.0.1:7400","dataCentre":"seattle","expected":0}`)
	f.Add(`[{"id":1}]`)
	b := &backend{}
	call := callerWithRole(f, b, keys.Operator)
	f.Fuzz(func(t *testing.T, body string) {
		b.changes, b.members = nil, nil
		for _, path := range []string{"/v1/changes", "/v1/members"} {
			w := call("POST", path, body)
			switch w.Code {
			case http.StatusOK, http.StatusConflict:
				decode[admin.ChangeAnswer](t, w)
			case http.StatusBadRequest:
				assert.Assert(t, decode[admin.ErrorAnswer](t, w).Error != "")
			default:
				t.Fatalf("status %d", w.Code)
			}
		}
		for _, c := range b.changes {
			assert.Assert(t, c.Operator == "aru" && len(c.ID) == len(changeID) && keys.ValidName(c.Key.Name))
			assert.Assert(t, c.Value == nil || json.Valid(c.Value))
		}
	})
}
