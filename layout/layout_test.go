package layout_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cyclamenrelay.example/conf"
	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/layout"
)

func readSpec(t *testing.T, firm string) layout.Spec {
	b, err := os.ReadFile(filepath.Join("../deploy", firm, layout.SpecFile))
	assert.NilError(t, err)
	s, err := layout.ParseSpec(b)
	assert.NilError(t, err)
	return s
}

// TestCommittedDeployments checks that the committed files equal the generated
// ones, and that the ports of the two firms do not overlap.
func TestCommittedDeployments(t *testing.T) {
	used := map[string]string{}
	claimAddresses := func(owner string, addrs ...string) {
		for _, a := range addrs {
			if a == "" {
				continue
			}
			assert.Equal(t, used[a], "", "%s of %s", a, owner)
			used[a] = owner
		}
	}
	for _, firm := range []string{"tengri", "cascade"} {
		files, err := readSpec(t, firm).Files()
		assert.NilError(t, err)
		assert.Equal(t, len(files), 3+3+11+1)
		for _, f := range files {
			path := filepath.Join("../deploy", firm, f.Name)
			committed, err := os.ReadFile(path)
			assert.NilError(t, err)
			assert.Equal(t, string(committed), string(f.Body), path)
			if f.Name == layout.TargetsFile {
				continue
			}
			s, err := conf.Load(path)
			assert.NilError(t, err)
			claimAddresses(path, s.Node.Listen, s.Entry.Callers, s.Entry.Operators, s.Agent.Targets, s.Agent.Platform, s.Metrics.Listen)
		}
	}
}

func TestTargetsSpreadOverRacksAndDataCentres(t *testing.T) {
	files, err := readSpec(t, "cascade").Files()
	assert.NilError(t, err)
	var targets []layout.Target
	assert.NilError(t, json.Unmarshal(files[len(files)-1].Body, &targets))
	racks, centres := map[string]int{}, map[string]bool{}
	for _, g := range targets {
		racks[g.Labels[layout.LabelRack]]++
		centres[g.DataCentre] = true
		assert.Equal(t, g.Labels[layout.LabelDataCentre], g.DataCentre)
	}
	assert.DeepEqual(t, racks, map[string]int{"r1": 3, "r2": 3, "r3": 3, "r4": 2})
	assert.Equal(t, len(centres), 3)
}

func TestIssueMatchesSettings(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "tengri")
	assert.NilError(t, os.Mkdir(dir, 0o700))
	b, err := os.ReadFile("../deploy/tengri/" + layout.SpecFile)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(filepath.Join(dir, layout.SpecFile), b, 0o600))
	_, err = layout.WriteFiles(dir)
	assert.NilError(t, err)
	n, err := layout.IssueCertificates(dir, "aru", time.Now(), time.Hour)
	assert.NilError(t, err)
	assert.Equal(t, n, 1+17+1)
	s, err := conf.Load(filepath.Join(dir, "e2.json"))
	assert.NilError(t, err)
	id, err := keys.Load(s.TLS.CA, s.TLS.Cert, s.TLS.Key)
	assert.NilError(t, err)
	assert.DeepEqual(t, id.Self(), keys.Peer{Name: "e2", Roles: []keys.Role{keys.Entry}})
	_, err = layout.IssueCertificates(dir, "aru", time.Now(), time.Hour)
	assert.ErrorContains(t, err, "exists")
}

func TestParseSpecRefusesInvalidSpecs(t *testing.T) {
	for _, text := range []string{`{`, `{}`, `{"name":"a","port":65000,"dataCentres":["x"],"entries":1,"workers":99,"workersPerRack":1,"slots":1,"connections":1}`} {
		_, err := layout.ParseSpec([]byte(text))
		assert.Assert(t, err != nil, text)
	}
}
