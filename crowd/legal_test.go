package crowd_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"cyclamenrelay.example/guard"
)

// The legal job with the largest decoded form is served when there is no other load, also by
// the smallest machine that the settings allow: the memory for decoded forms must not refuse it.
func TestLargestLegalJob(t *testing.T) {
	d := deploy(t)
	d.start("entry")
	p := d.ports()[0]
	calm := d.waitOrdinary(p)
	body := largestJob()
	assert.Assert(t, len(body) <= maxBody, len(body))
	got := ask(http.MethodPost, "http://"+p.addr+queuePrefix+"00000000000000bb", queueHost, body)
	assert.Equal(t, got, calm)
	size, err := guard.DecodedSize([]byte(body))
	assert.NilError(t, err)
	l := guard.Plan{Memory: 64 << 20, Descriptors: 256}.Limits(guard.Main)
	assert.Assert(t, size+int64(len(body)) <= l.Bytes*7/8, "%d of %d", size, l.Bytes)
}
