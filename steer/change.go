package steer

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"cyclamenrelay.example/leader"
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/state"
)

// proposeLimit bounds a change. It is shorter than an operator's patience, so
// that the operator learns whether the change was certainly not made.
const proposeLimit = 5 * time.Second

// Config implements admin.Backend.
func (s *Service) Config() model.Config { return s.opts.View.Config() }

// Change implements admin.Backend. The error is a trace.LimitExceeded when the
// change was certainly not made, else a trace.ConnectionProblem.
func (s *Service) Change(ctx context.Context, c model.Change) (model.ChangeResult, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeLimit)
	defer cancel()
	b, err := state.ConfigCommands.Encode(state.Change{Change: c})
	if err != nil {
		return model.ChangeResult{}, trace.BadParameter("change: %v", err)
	}
	answer, err := s.opts.Keepers.Propose(ctx, leader.ConfigGroup, b)
	var unsent leader.Unsent
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
		return model.ChangeResult{}, trace.ConnectionProblem(nil, "the change may have been made: the answer is %T", a)
	}
	return changed.Result, nil
}

// History implements admin.Backend.
func (s *Service) History(ctx context.Context, n int) ([]model.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeLimit)
	defer cancel()
	q, err := state.ConfigQueries.Encode(state.History{N: n})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	answer, err := s.opts.Keepers.Query(ctx, leader.ConfigGroup, q)
	if err != nil {
		return nil, trace.LimitExceeded("the keepers cannot be asked: %v", err)
	}
	a, err := state.ConfigAnswers.Decode(answer)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	events, ok := a.(state.Events)
	if !ok {
		return nil, trace.ConnectionProblem(nil, "the answer is %T", a)
	}
	var out []model.Item
	for _, e := range events.Events {
		out = append(out, e.Item)
	}
	return out, nil
}
