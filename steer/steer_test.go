package steer_test

import (
	"context"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"cyclamenrelay.example/admin"
	"cyclamenrelay.example/leader"
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/spread"
	"cyclamenrelay.example/state"
	"cyclamenrelay.example/steer"
)

// keepers apply changes to one configuration. The answers of the changes that
// lose counts (from 1) are lost, and err is returned without a change.
type keepers struct {
	cfg  *state.Config
	n    int
	lose map[int]bool
	err  error
}

func (k *keepers) Propose(_ context.Context, _ uint32, command []byte) ([]byte, error) {
	if k.err != nil {
		return nil, k.err
	}
	k.n++
	a := k.cfg.Apply(uint64(k.n), time.Duration(k.n)*time.Second, command)
	if k.lose[k.n] {
		return nil, trace.ConnectionProblem(nil, "the answer was lost")
	}
	return a, nil
}

func (k *keepers) Query(_ context.Context, _ uint32, query []byte) ([]byte, error) {
	if k.err != nil {
		return nil, k.err
	}
	return k.cfg.Query(query), nil
}

func service(k *keepers) *steer.Service {
	clock := clockwork.NewFakeClock()
	return steer.New(steer.Options{Keepers: k, Clock: clock, Log: zap.NewNop(), View: spread.NewView(clock, time.Second)})
}

func change(expected uint64) model.Change {
	return model.Change{
		ID: uuid.NewString(), Operator: "ann", Expected: expected, Value: []byte(`{"work":"","targets":"","order":0,"weight":1}`),
		Key: model.ItemKey{Section: model.SectionRule, Name: "tags"},
	}
}

func TestChangeTellsWhatIsCertain(t *testing.T) {
	k := &keepers{cfg: state.NewConfig(), lose: map[int]bool{1: true}, err: trace.Wrap(leader.Unsent{Reason: "none"})}
	s := service(k)
	_, err := s.Change(t.Context(), change(0))
	assert.Assert(t, trace.IsLimitExceeded(err), "%v", err)
	_, err = s.History(t.Context(), 10)
	assert.Assert(t, trace.IsLimitExceeded(err), "%v", err)
	k.err = nil
	c := change(0)
	_, err = s.Change(t.Context(), c)
	assert.Assert(t, trace.IsConnectionProblem(err), "%v", err)
	res, err := s.Change(t.Context(), c)
	assert.NilError(t, err)
	assert.Assert(t, res.Accepted)
	assert.Equal(t, res.Item.Count, uint64(1))
	lost, err := s.Change(t.Context(), change(0))
	assert.NilError(t, err)
	assert.Assert(t, !lost.Accepted)
	assert.Equal(t, lost.Item.ChangeID, c.ID)
	items, err := s.History(t.Context(), 10)
	assert.NilError(t, err)
	assert.Equal(t, len(items), 1)
}

func replacement() admin.MemberChange {
	return admin.MemberChange{
		ID: uuid.NewString(), Action: admin.MemberReplace, Name: "k4", Replaces: "k2",
		Address: "10.0.0.4:7400", DataCentre: "almaty-2", Operator: "ann",
	}
}

func item(k *keepers, name string) model.Item {
	return k.cfg.Item(model.ItemKey{Section: model.SectionMember, Name: name})
}

// TestReplacementGoesOn: whichever answer is lost, a resend ends with one
// accepted change of each keeper's item.
func TestReplacementGoesOn(t *testing.T) {
	for lost := range 3 {
		k := &keepers{cfg: state.NewConfig(), lose: map[int]bool{lost: true}}
		s, c := service(k), replacement()
		res, err := s.ChangeMember(t.Context(), c)
		assert.Equal(t, err != nil, lost > 0)
		for range 2 {
			res, err = s.ChangeMember(t.Context(), c)
			assert.NilError(t, err)
		}
		assert.Assert(t, res.Accepted)
		assert.Equal(t, k.cfg.Version(), uint64(2))
		assert.Assert(t, item(k, "k4").Value != nil)
		assert.Equal(t, item(k, "k2").Count, uint64(1))
		assert.Assert(t, item(k, "k2").Value == nil)
	}
}

// TestReplacementOfAnItem: the lost keeper's item is removed at the count that
// it has, which this entry may not have heard yet.
func TestReplacementOfAnItem(t *testing.T) {
	k := &keepers{cfg: state.NewConfig()}
	s := service(k)
	add := replacement()
	add.Action, add.Name, add.Replaces = admin.MemberAdd, "k2", ""
	_, err := s.ChangeMember(t.Context(), add)
	assert.NilError(t, err)
	_, err = s.ChangeMember(t.Context(), replacement())
	assert.NilError(t, err)
	assert.Equal(t, item(k, "k2").Count, uint64(2))
	assert.Assert(t, item(k, "k2").Value == nil)
	stale := replacement()
	stale.Replaces = "k1"
	res, err := s.ChangeMember(t.Context(), stale)
	assert.NilError(t, err)
	assert.Assert(t, !res.Accepted)
	assert.Equal(t, item(k, "k1").Count, uint64(0))
}
