package conf_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cyclamenrelay.example/conf"
)

func withLimits(limits string) string {
	return strings.Replace(minimalSettings, `"join":`, `"limits": `+limits+`, "join":`, 1)
}

// A template fills in numbers as text, fractions, or nothing at all; a process that does not
// start for that would leave its machine without service.
func TestLimits(t *testing.T) {
	for text, want := range map[string]conf.Limits{
		`{}`:                                   {},
		`{"memory": "", "descriptors": ""}`:    {},
		`{"memory": 184, "descriptors": 4100}`: {Memory: 184, Descriptors: 4100},
		`{"memory": "184.9"}`:                  {Memory: 184},
	} {
		s, err := conf.Parse([]byte(withLimits(text)))
		assert.NilError(t, err, text)
		assert.Equal(t, s.Limits, want, text)
	}
	for _, text := range []string{`{"memory": "x"}`, `{"memory": -1}`, `{"memory": 63}`, `{"memory": true}`, `{"memory": null}`, `{"memory": "1e99"}`} {
		_, ok := problems(t, withLimits(text))["limits.memory"]
		assert.Assert(t, ok, text)
	}
	_, ok := problems(t, withLimits(`{"descriptors": 10}`))["limits.descriptors"]
	assert.Assert(t, ok)
	for _, text := range []string{`{"link": "0.01"}`, `{"link": "-1"}`, `{"link": "1e9"}`, `{"link": "fast"}`, `{"link": 25}`} {
		_, ok := problems(t, withLimits(text))["limits.link"]
		assert.Assert(t, ok, text)
	}
}

// The limits in the platform's template must be valid with and without the machine's values.
func TestLimitsInTemplate(t *testing.T) {
	b, err := os.ReadFile(filepath.Join("..", "deploy", "settings.json.tmpl"))
	assert.NilError(t, err)
	limits := regexp.MustCompile(`"limits": (\{ .* \}),`).FindSubmatch(b)
	assert.Equal(t, len(limits), 2, "no limits")
	for text, want := range map[string]int{"": 0, "184": 184, "144.0": 144} {
		filled := strings.ReplaceAll(string(limits[1]), "{{limits.memory_mb}}", text)
		filled = strings.ReplaceAll(filled, "{{limits.file_descriptors}}", "4096")
		for rate, link := range map[string]conf.Number{"": 0, "2.5": 2.5} {
			s, err := conf.Parse([]byte(withLimits(strings.ReplaceAll(filled, "{{limits.link_mbps}}", rate))))
			assert.NilError(t, err, filled)
			assert.Equal(t, s.Limits, conf.Limits{Memory: conf.Amount(want), Descriptors: 4096, Link: link})
		}
	}
}
