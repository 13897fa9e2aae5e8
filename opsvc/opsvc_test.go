package opsvc_test

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
	"cyclamenrelay.example/opsvc"
	"cyclamenrelay.example/state"
	"cyclamenrelay.example/watch"
)

// fakeKeepers is a fake opsvc.ReplicatedLog that applies changes to one configuration. lostAnswers holds
// the numbers (from 1) of the proposals whose answers are lost; with err set, calls
// return it and change nothing.
type fakeKeepers struct {
	cfg         *state.Config
	proposals   int
	lostAnswers map[int]bool
	err         error
}

func (k *fakeKeepers) Propose(_ context.Context, _ uint32, command []byte) ([]byte, error) {
	if k.err != nil {
		return nil, k.err
	}
	k.proposals++
	a := k.cfg.Apply(uint64(k.proposals), time.Duration(k.proposals)*time.Second, command)
	if k.lostAnswers[k.proposals] {
		return nil, trace.ConnectionProblem(nil, "the answer was lost")
	}
	return a, nil
}

func (k *fakeKeepers) Query(_ context.Context, _ uint32, query []byte) ([]byte, error) {
	if k.err != nil {
		return nil, k.err
	}
	return k.cfg.Query(query), nil
}

func (k *fakeKeepers) CheckEvacuations(context.Context) error { return k.err }

func newService(k *fakeKeepers) *opsvc.Service {
	clock := clockwork.NewFakeClock()
	return opsvc.New(opsvc.Options{Keepers: k, Clock: clock, Log: zap.NewNop(), View: watch.NewView(clock, time.Second)})
}

func ruleChange(expected uint64) model.Change {
	return model.Change{
		ID: uuid.NewString(), Operator: "ann", Expected: expected, Value: []byte(`{"work":"","targets":"","order":0,"weight":1}`),
		Key: model.ItemKey{Section: model.SectionRule, Name: "tags"},
	}
}

func TestChangeErrorTellsWhetherItWasMade(t *testing.T) {
	k := &fakeKeepers{cfg: state.NewConfig(), lostAnswers: map[int]bool{1: true}, err: trace.Wrap(leader.NotAccepted{Reason: "none"})}
	s := newService(k)
	_, err := s.Change(t.Context(), ruleChange(0))
	assert.Assert(t, trace.IsLimitExceeded(err), "%v", err)
	_, err = s.History(t.Context(), 10)
	assert.Assert(t, trace.IsLimitExceeded(err), "%v", err)
	k.err = nil
	c := ruleChange(0)
	_, err = s.Change(t.Context(), c)
	assert.Assert(t, trace.IsConnectionProblem(err), "%v", err)
	res, err := s.Change(t.Context(), c)
	assert.NilError(t, err)
	assert.Assert(t, res.Accepted)
	assert.Equal(t, res.Item.Count, uint64(1))
	refused, err := s.Change(t.Context(), ruleChange(0))
	assert.NilError(t, err)
	assert.Assert(t, !refused.Accepted)
	assert.Equal(t, refused.Item.ChangeID, c.ID)
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

func memberItem(k *fakeKeepers, name string) model.Item {
	return k.cfg.Item(model.ItemKey{Section: model.SectionMember, Name: name})
}

// TestReplacementIsResumedByAResend checks that whichever answer is lost, a resend
// of the replacement ends with one accepted change of each keeper's item.
func TestReplacementIsResumedByAResend(t *testing.T) {
	for lost := range 3 {
		k := &fakeKeepers{cfg: state.NewConfig(), lostAnswers: map[int]bool{lost: true}}
		s, c := newService(k), replacement()
		res, err := s.ChangeMember(t.Context(), c)
		assert.Equal(t, err != nil, lost > 0)
		for range 2 {
			res, err = s.ChangeMember(t.Context(), c)
			assert.NilError(t, err)
		}
		assert.Assert(t, res.Accepted)
		assert.Equal(t, k.cfg.Version(), uint64(2))
		assert.Assert(t, memberItem(k, "k4").Value != nil)
		assert.Equal(t, memberItem(k, "k2").Count, uint64(1))
		assert.Assert(t, memberItem(k, "k2").Value == nil)
	}
}

// TestReplacementUsesTheCurrentCount checks that the lost keeper's item is removed
// at its current count, which this entry may not have received yet.
func TestReplacementUsesTheCurrentCount(t *testing.T) {
	k := &fakeKeepers{cfg: state.NewConfig()}
	s := newService(k)
	add := replacement()
	add.Action, add.Name, add.Replaces = admin.MemberAdd, "k2", ""
	_, err := s.ChangeMember(t.Context(), add)
	assert.NilError(t, err)
	_, err = s.ChangeMember(t.Context(), replacement())
	assert.NilError(t, err)
	assert.Equal(t, memberItem(k, "k2").Count, uint64(2))
	assert.Assert(t, memberItem(k, "k2").Value == nil)
	stale := replacement()
	stale.Replaces = "k1"
	res, err := s.ChangeMember(t.Context(), stale)
	assert.NilError(t, err)
	assert.Assert(t, !res.Accepted)
	assert.Equal(t, memberItem(k, "k1").Count, uint64(0))
}
