package kernel_test

import (
	"context"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"cyclamenrelay.example/kernel"
)

// service records its Start and Drain calls in events. Run returns fail unless it is
// nil.
type service struct {
	name   string
	events *[]string
	fail   error
}

func (s *service) Name() string { return s.name }

func (s *service) Start(*kernel.Kernel) error {
	*s.events = append(*s.events, "start "+s.name)
	return nil
}

func (s *service) Drain(context.Context) { *s.events = append(*s.events, "drain "+s.name) }

func (s *service) Run(ctx context.Context) error {
	if s.fail != nil {
		return s.fail
	}
	<-ctx.Done()
	return nil
}

func TestServicesStartInOrderAndDrainInReverse(t *testing.T) {
	var events []string
	k := kernel.New(zap.NewNop())
	k.Add(&service{name: "a", events: &events})
	k.Add(&service{name: "b", events: &events})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.NilError(t, k.Run(ctx, time.Second))
	assert.DeepEqual(t, events, []string{"start a", "start b", "drain b", "drain a"})
}

func TestFailedServiceStopsTheProcessWithoutDraining(t *testing.T) {
	var events []string
	k := kernel.New(zap.NewNop())
	k.Add(&service{name: "a", events: &events})
	k.Add(&service{name: "b", events: &events, fail: trace.BadParameter("broken")})
	err := k.Run(t.Context(), time.Second)
	assert.ErrorContains(t, err, "broken")
	assert.DeepEqual(t, events, []string{"start a", "start b"})
}

func TestFind(t *testing.T) {
	k := kernel.New(zap.NewNop())
	s := &service{name: "a"}
	k.Add(s)
	got, err := kernel.Find[*service](k, "a")
	assert.NilError(t, err)
	assert.Equal(t, got, s)
	_, err = kernel.Find[*service](k, "b")
	assert.Assert(t, trace.IsNotFound(err))
	_, err = kernel.Find[kernel.Drainer](k, "a")
	assert.NilError(t, err)
	_, err = kernel.Find[error](k, "a")
	assert.Assert(t, trace.IsBadParameter(err))
}
