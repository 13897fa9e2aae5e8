package conf_test

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"gotest.tools/v3/assert"

	"cyclamenrelay.example/conf"
	"cyclamenrelay.example/keys"
)

const minimalSettings = `{
	"node": {"name": "a1", "dataCentre": "portland", "roles": ["agent"], "listen": "127.0.0.1:7400"},
	"tls": {"ca": "tls/ca.pem", "cert": "tls/a1.pem", "key": "/etc/relay/a1.key"},
	"join": {"addresses": ["127.0.0.1:7500"]},
	"agent": {"targets": "127.0.0.1:7401", "targetLease": "3s"}
}`

// problems returns the problems that Parse reports, as values by path.
func problems(t *testing.T, text string) map[string]string {
	t.Helper()
	_, err := conf.Parse([]byte(text))
	assert.Assert(t, trace.IsBadParameter(err), "%v", err)
	var ps conf.Problems
	assert.Assert(t, errors.As(err, &ps))
	out := map[string]string{}
	for _, p := range ps {
		assert.Assert(t, p.Allowed != "", p.Path)
		out[p.Path] = p.Value
	}
	return out
}

func TestDefaults(t *testing.T) {
	s, err := conf.Parse([]byte(minimalSettings))
	assert.NilError(t, err)
	assert.NilError(t, s.Validate())
	assert.Assert(t, s.Node.Has(keys.Agent) && !s.Node.Has(keys.Keeper))
	assert.Equal(t, s.Node.Advertise, "127.0.0.1:7400")
	assert.Equal(t, time.Duration(s.Agent.TargetLease), 3*time.Second)
	assert.Equal(t, time.Duration(s.Freshness.Lease), 4*time.Second)
	assert.Equal(t, s.Keeper.Groups, 4)
}

func TestAllErrorsAreReported(t *testing.T) {
	got := problems(t, `{
		"node": {"name": "a/1", "roles": ["agent", "entry", "king", "agent"], "listen": "localhost:1", "colour": 3},
		"tls": {"ca": "ca.pem", "cert": 7},
		"join": {"addresses": ["0.0.0.0:7500", "127.0.0.1:1", "127.0.0.1:1"]},
		"keeper": {"groups": 0, "retention": "10", "initialMembers": [{"name": "k1"}]},
		"entry": {"callers": "127.0.0.1:8080", "operators": "127.0.0.1:8080", "maxBody": 1.5, "policy": "best"},
		"agent": {"targets": "127.0.0.1:7401", "platform": "ftp://x", "refuseAfter": "1h"},
		"freshness": {"lease": "1s", "heartbeat": "500ms", "serveStale": "no"},
		"log": {"level": "loud"}, "spans": {"share": 2}, "metrics": [],
		"platform": {"farFactor": "NaN"}, "extra": {}
	}`)
	assert.DeepEqual(t, got, map[string]string{
		"node.name": `"a/1"`, "node.dataCentre": "", "node.roles[2]": `"king"`, "node.roles[3]": `"agent"`,
		"node.listen": `"localhost:1"`, "node.colour": "",
		"tls.cert": "7", "tls.key": "",
		"join.addresses[0]": `"0.0.0.0:7500"`, "join.addresses[2]": `"127.0.0.1:1"`,
		"keeper.groups": "0", "keeper.retention": `"10"`,
		"keeper.initialMembers[0].address": "", "keeper.initialMembers[0].dataCentre": "",
		"entry.operators": `"127.0.0.1:8080"`, "entry.maxBody": "1.5", "entry.policy": `"best"`,
		"agent.platform": `"ftp://x"`, "agent.refuseAfter": `"1h0m0s"`,
		"freshness.heartbeat": `"500ms"`, "freshness.serveStale": `"no"`,
		"log.level": `"loud"`, "spans.share": "2", "metrics": "[]", "platform.farFactor": `"NaN"`, "extra": "",
	})
}

func TestBrokenJSONIsOneProblem(t *testing.T) {
	for _, text := range []string{"", "{", "{} {}", "[]", "null", `{"node":` + strings.Repeat("[", 20_000)} {
		assert.Equal(t, len(problems(t, text)), 1, text[:min(len(text), 10)])
	}
}

func TestInitialMembersNameTheKeeper(t *testing.T) {
	text := strings.Replace(minimalSettings, `"roles": ["agent"]`, `"roles": ["keeper"], "dataFolder": "data"`, 1)
	text = strings.Replace(text, `"join": {"addresses": ["127.0.0.1:7500"]}`, `"keeper": {"initialMembers": [
		{"name": "NAME", "address": "127.0.0.1:7400", "dataCentre": "portland"}]}`, 1)
	_, err := conf.Parse([]byte(strings.Replace(text, "NAME", "a1", 1)))
	assert.NilError(t, err)
	got := problems(t, strings.Replace(text, "NAME", "k9", 1))
	assert.DeepEqual(t, got, map[string]string{"keeper.initialMembers": ""})
}

func TestLoadJoinsPaths(t *testing.T) {
	file := filepath.Join(t.TempDir(), "a1.json")
	assert.NilError(t, os.WriteFile(file, []byte(minimalSettings), 0o600))
	s, err := conf.Load(file)
	assert.NilError(t, err)
	assert.Equal(t, s.TLS.CA, filepath.Join(filepath.Dir(file), "tls/ca.pem"))
	assert.Equal(t, s.TLS.Key, "/etc/relay/a1.key")
	_, err = conf.Load(file + ".none")
	assert.Assert(t, trace.IsNotFound(err))
}

func TestSparseKeepsSettings(t *testing.T) {
	s, err := conf.Parse([]byte(minimalSettings))
	assert.NilError(t, err)
	b, err := s.Sparse()
	assert.NilError(t, err)
	again, err := conf.Parse(b)
	assert.NilError(t, err)
	assert.DeepEqual(t, again, s)
	assert.Assert(t, !strings.Contains(string(b), "freshness"))
}

var comment = regexp.MustCompile(`(?m)^\s*//.*$`)

// TestSampleInDocs checks that the sample in the docs is valid and has every field.
func TestSampleInDocs(t *testing.T) {
	page, err := os.ReadFile("../docs/SETTINGS.md")
	assert.NilError(t, err)
	_, rest, _ := strings.Cut(string(page), "```jsonc\n")
	sample, _, ok := strings.Cut(rest, "```")
	assert.Assert(t, ok)
	text := comment.ReplaceAll([]byte(sample), nil)
	s, err := conf.Parse(text)
	assert.NilError(t, err)

	whole, err := json.Marshal(s)
	assert.NilError(t, err)
	var got, want any
	assert.NilError(t, json.Unmarshal(text, &got))
	assert.NilError(t, json.Unmarshal(whole, &want))
	assert.DeepEqual(t, fields(got), fields(want))
}

// fields returns v with all values but objects blanked, so that only the names of
// fields are compared.
func fields(v any) any {
	switch v := v.(type) {
	case map[string]any:
		for k := range v {
			v[k] = fields(v[k])
		}
		return v
	default:
		return ""
	}
}

func TestPolicies(t *testing.T) {
	for _, p := range []string{"joinIdle", "twoChoices", "random", "least", "strict", "Strict", ""} {
		s, err := conf.Parse([]byte(strings.Replace(minimalSettings, `"targetLease"`, `"policy": "`+p+`", "targetLease"`, 1)))
		if p == "Strict" || p == "" {
			assert.ErrorContains(t, err, "agent.policy")
			continue
		}
		assert.NilError(t, err)
		assert.Equal(t, s.Agent.Policy, p)
	}
}

// A template renders a field that the platform does not have as an empty string, which must
// not keep the process from starting.
func TestNumbersMayBeEmpty(t *testing.T) {
	for text, want := range map[string]conf.Number{`""`: 0, `"1.5"`: 1.5, `"3"`: 3} {
		s, err := conf.Parse([]byte(strings.Replace(minimalSettings, `"agent":`, `"platform": {"farFactor": `+text+`}, "agent":`, 1)))
		assert.NilError(t, err)
		assert.Equal(t, s.Platform.FarFactor, want)
	}
	for _, text := range []string{`"0.5"`, `"11"`, `"x"`, "1.5", "null", `"-1"`} {
		_, err := conf.Parse([]byte(strings.Replace(minimalSettings, `"agent":`, `"platform": {"farFactor": `+text+`}, "agent":`, 1)))
		assert.ErrorContains(t, err, "platform.farFactor")
	}
}

func FuzzParse(f *testing.F) {
	page, err := os.ReadFile("../docs/SETTINGS.md")
	assert.NilError(f, err)
	_, rest, _ := strings.Cut(string(page), "```jsonc\n")
	sample, _, _ := strings.Cut(rest, "```")
	f.Add(comment.ReplaceAll([]byte(sample), nil))
	f.Add([]byte(minimalSettings))
	f.Add([]byte(`{"node":[],"keeper":{"retention":5,"groups":1e99},"x":null}`))
	f.Add([]byte(strings.Replace(minimalSettings, "[\"127.0.0.1:7500\"]", `[]`, 1)))
	f.Add([]byte(`{"join":{"addresses":[null,{}]},"spans":{"share":-1}}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := conf.Parse(b)
		if err != nil {
			assert.Assert(t, trace.IsBadParameter(err))
			return
		}
		assert.NilError(t, s.Validate())
		b, err = s.Sparse()
		assert.NilError(t, err)
		again, err := conf.Parse(b)
		assert.NilError(t, err)
		assert.DeepEqual(t, again, s)
	})
}
