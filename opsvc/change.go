package opsvc

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"cyclamenrelay.example/leader"
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/state"
)

// proposeTimeout is the time-out of a change. It is shorter than the operator's own
// time-out, so that the operator learns whether the change was certainly not made.
const proposeTimeout = 5 * time.Second

// Config implements admin.Backend.
func (s *Service) Config() model.Config { return s.opts.View.Config() }

// Change implements admin.Backend. The error is a trace.LimitExceeded when the
// change was certainly not made, else a trace.ConnectionProblem.
func (s *Service) Change(ctx context.Context, c model.Change) (model.ChangeResult, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if c.Key.Section == model.SectionEvacuation {
		if err := s.opts.Keepers.CheckEvacuations(ctx); err != nil {
			return model.ChangeResult{}, trace.LimitExceeded("the change was not made: %v", err)
		}
	}
	b, err := state.ConfigCommands.Encode(state.Change{Change: c})
	if err != nil {
		return model.ChangeResult{}, trace.BadParameter("change: %v", err)
	}
	answer, err := s.opts.Keepers.Propose(ctx, leader.ConfigGroup, b)
	var unsent leader.NotAccepted
	if errors.As(err, &unsent) {
		return model.ChangeResult{}, trace.LimitExceeded("the change was not made: %v", unsent)
	}
	if err != nil {
		return model.ChangeResult{}, trace.ConnectionProblem(err, "the change may have been made: %v", err)
	}
	a, err := state.ConfigAnswers.Decode(answer)
	if err != nil {
		return model.ChangeResult{}, trace.ConnectionProblem(err, "the change may have been made: %v", err)
	}
	changed, ok := a.(state.Changed)
	if !ok {
		return model.ChangeResult{}, trace.ConnectionProblem(nil, "the change may have been made: unexpected answer of type %T", a)
	}
	return changed.Result, nil
}

// History implements admin.Backend. The error is a trace.LimitExceeded when the
// keepers cannot be queried.
func (s *Service) History(ctx context.Context, n int) ([]model.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	q, err := state.ConfigQueries.Encode(state.GetHistory{N: n})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	answer, err := s.opts.Keepers.Query(ctx, leader.ConfigGroup, q)
	if err != nil {
		return nil, trace.LimitExceeded("the keepers cannot be queried: %v", err)
	}
	a, err := state.ConfigAnswers.Decode(answer)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	events, ok := a.(state.Events)
	if !ok {
		return nil, trace.ConnectionProblem(nil, "unexpected answer of type %T", a)
	}
	var out []model.Item
	for _, e := range events.Events {
		out = append(out, e.Item)
	}
	return out, nil
}
