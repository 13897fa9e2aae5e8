package launch_test

import (
	"context"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cyclamenrelay.example/launch"
	"cyclamenrelay.example/layout"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// Agents whose join addresses are those of entries only can join the deployment,
// and a request is answered through them.
func TestSmallDeploymentServesRequests(t *testing.T) {
	dir := t.TempDir()
	for _, p := range []string{"relayd", "stand"} {
		out, err := exec.Command("go", "build", "-o", filepath.Join(dir, p), "../"+p).CombinedOutput()
		assert.NilError(t, err, string(out))
	}
	folder := filepath.Join(dir, "deployment")
	assert.NilError(t, os.Mkdir(folder, 0o755))
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	port, err := launch.FreePorts(5)
	assert.NilError(t, err)
	deployment, err := launch.Start(ctx, launch.Options{
		Spec: layout.Spec{
			Name: "small", Port: port, DataCentres: []string{"a", "b"}, Entries: 1, Workers: 2, WorkersPerRack: 1,
			Executor: "desk", Slots: 2, Connections: 4,
		},
		Folder: folder, Programs: dir, DataCentreDelay: time.Millisecond, CallerDelay: time.Millisecond, Clock: clockwork.NewRealClock(),
	})
	defer deployment.Stop()
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		resp, err := http.Post(deployment.EntryURLs()[0]+"/v1/requests", "application/json", strings.NewReader(`{"runTime":"1ms"}`))
		if err != nil {
			return poll.Continue("%v", err)
		}
		defer func() { _ = resp.Body.Close() }()
		b, _ := io.ReadAll(resp.Body)
		if resp.Header.Get("Relay-Outcome") != "complete" {
			return poll.Continue("%s", b)
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute), poll.WithDelay(50*time.Millisecond))
}
