package system_test

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cyclamenrelay.example/admin"
)

func TestCertificateIsRenewed(t *testing.T) {
	d := deploy(t, smallSpec())
	before := readJSON[admin.Status](d, 1, "status").CertificateEnds
	pair, err := d.ca.Renew(d.path("entry-1.pem"), time.Now(), certValidity/2)
	assert.NilError(t, err)
	assert.NilError(t, pair.Write(d.path("entry-1.pem"), d.path("entry-1-key.pem")))
	d.signal("entry-1", syscall.SIGHUP)
	eventually(d, 1, func(st admin.Status) bool { return st.CertificateEnds.Before(before) }, "status")
	d.targetsThatRan("tag", 4)
}

func TestRefusalsAreCounted(t *testing.T) {
	d := deploy(t, smallSpec())
	a := d.request(1, "tag", `{}`, map[string]string{"Relay-Selector": "rack=none"})
	assert.Equal(t, a.outcome, "notRun", a.body)
	req, err := http.NewRequest(http.MethodGet, "http://"+d.metricsAddr("entry-1")+"/metrics", nil)
	assert.NilError(t, err)
	m := sendRequest(req)
	assert.Assert(t, strings.Contains(m.body, `relay_answers_total{outcome="notRun"}`), m.body)
	assert.Assert(t, readJSON[admin.Status](d, 1, "status").Queue.Refused > 0)
}

func TestKeepersStopTogether(t *testing.T) {
	d := deploy(t, smallSpec())
	for i := 1; i <= 3; i++ {
		d.signal(fmt.Sprintf("keeper-%d", i), syscall.SIGTERM)
	}
	limit := time.After(stopLimit)
	for i := 1; i <= 3; i++ {
		name := fmt.Sprintf("keeper-%d", i)
		select {
		case <-d.processes[name].done:
			assert.Equal(t, d.processes[name].cmd.ProcessState.ExitCode(), 0)
		case <-limit:
			t.Fatalf("%s did not stop: it keeps handing over its groups", name)
		}
	}
}
