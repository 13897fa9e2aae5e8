package conf_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cyclamenrelay.example/conf"
)

// Guards against backfill that is on by default or without a bound.
func TestBackfillSetting(t *testing.T) {
	settings := func(backfill string) string {
		return strings.Replace(minimalSettings, `"node":`, `"platform": {"enabled": true, "control": "127.0.0.1:7402"`+backfill+`}, "node":`, 1)
	}
	s, err := conf.Parse([]byte(settings("")))
	assert.NilError(t, err)
	assert.Equal(t, s.Platform.Backfill, conf.Duration(0))
	assert.DeepEqual(t, problems(t, settings(`, "backfill": "2s"`)), map[string]string{"platform.backfill": `"2s"`})
	assert.DeepEqual(t, problems(t, settings(`, "backfill": "-1ms"`)), map[string]string{"platform.backfill": `"-1ms"`})
}
