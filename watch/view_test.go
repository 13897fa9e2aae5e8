package watch_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"cyclamenrelay.example/model"
	"cyclamenrelay.example/watch"
	"cyclamenrelay.example/wire"
)

const lease = 4 * time.Second

func update(from, to uint64, age time.Duration) wire.ConfigUpdate {
	k := model.ItemKey{Section: model.SectionDrain, Name: "d"}
	return wire.ConfigUpdate{
		Delta: model.Delta{From: from, To: to, Items: []model.Item{{Key: k, Count: to, Version: to, Value: []byte("{}")}}},
		Fresh: model.Freshness{Version: to, Age: age},
	}
}

func TestViewIsUsableForALease(t *testing.T) {
	c := clockwork.NewFakeClock()
	v := watch.NewView(c, lease)
	assert.Assert(t, !v.Usable(), "usable before any confirmation")
	c.Advance(time.Minute)
	v.Apply(update(0, 3, time.Second), c.Now())
	assert.Assert(t, v.Usable())
	c.Advance(lease - time.Second)
	assert.Assert(t, v.Usable())
	c.Advance(1)
	assert.Assert(t, !v.Usable())
}

func TestConfirmationAgeCountsFromTheRequest(t *testing.T) {
	c := clockwork.NewFakeClock()
	v := watch.NewView(c, lease)
	c.Advance(time.Minute)
	sent := c.Now()
	c.Advance(lease)
	v.Apply(update(0, 1, time.Millisecond), sent)
	assert.Assert(t, !v.Usable(), "the age does not count from the request")
}

func TestVersionNeverGoesBack(t *testing.T) {
	c := clockwork.NewFakeClock()
	v := watch.NewView(c, lease)
	c.Advance(time.Minute)
	v.Apply(update(0, 9, 0), c.Now())
	v.Apply(update(0, 5, 0), c.Now())
	v.Apply(update(12, 13, 0), c.Now()) // leaves a gap
	assert.Equal(t, v.Config().Version(), uint64(9))
	c.Advance(lease + 1)
	assert.Assert(t, !v.Usable())
	v.Apply(wire.ConfigUpdate{Fresh: model.Freshness{Version: 13}}, c.Now())
	assert.Assert(t, !v.Usable(), "the confirmation of a version that the view does not have was accepted")
}

func TestRestartNeedsANewConfirmation(t *testing.T) {
	c := clockwork.NewFakeClock()
	v := watch.NewView(c, lease)
	c.Advance(time.Second)
	// Confirmed two seconds ago, before the process started: before its restart it
	// may have acted on a newer version.
	v.Apply(update(0, 1, 2*time.Second), c.Now())
	assert.Assert(t, !v.Usable())
	v.Apply(update(0, 2, 500*time.Millisecond), c.Now())
	assert.Assert(t, v.Usable())
}

func TestConfirmationAgesAcrossHops(t *testing.T) {
	c := clockwork.NewFakeClock()
	entry, agent := watch.NewView(c, lease), watch.NewView(c, lease)
	c.Advance(time.Minute)
	entry.Apply(update(0, 1, time.Second), c.Now())
	c.Advance(2 * time.Second)
	u := entry.UpdateSince(0)
	assert.Equal(t, u.Fresh.Age, 3*time.Second)
	agent.Apply(u, c.Now())
	assert.Assert(t, agent.Usable())
	c.Advance(time.Second + 1)
	assert.Assert(t, !agent.Usable())
}

// TestProvisionalUntilConfirmed: a process that has just started may act on an
// unconfirmed configuration from a keeper's disk until a quorum has confirmed one,
// since it has not acted on a newer one.
func TestProvisionalUntilConfirmed(t *testing.T) {
	c := clockwork.NewFakeClock()
	v := watch.NewView(c, lease)
	c.Advance(time.Minute)
	assert.Assert(t, !v.Provisional())
	v.Apply(update(0, 3, -1), c.Now())
	assert.Assert(t, v.Provisional() && !v.Usable())
	assert.Equal(t, v.Config().Version(), uint64(3))
	v.Apply(update(3, 4, 0), c.Now())
	assert.Assert(t, !v.Provisional() && v.Usable() && v.Fresh())
	c.Advance(lease + 1)
	assert.Assert(t, !v.Provisional() && !v.Usable() && !v.Fresh())
}
