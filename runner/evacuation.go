package runner

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"cyclamenrelay.example/evac"
	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/meter"
	"cyclamenrelay.example/wire"
)

// maxAskedKeepers is the number of keepers that are asked at once: a majority of them may be
// cut off from this agent. Deployments have five.
const maxAskedKeepers = 5

// refusedByEvacuation is the reason of relay_starts_refused_total.
const refusedByEvacuation = "evacuation"

// learnEvacuation processes what an entry or a keeper says about this data centre, in answer
// to a message sent at the given time. The caller holds mu.
func (p *Runner) learnEvacuation(s *wire.EvacuationState, from string, sent time.Time) {
	if s == nil {
		return
	}
	p.evacuation = p.evacuation.With(evac.Notice{Version: s.Version, Age: s.Age, Evacuated: s.Evacuated}, sent)
	if p.checkEvacuation() {
		p.opts.Log.Info("evacuation state changed", zap.Stringer("verdict", p.verdict), zap.String("from", from),
			zap.Uint64("version", s.Version), zap.Duration("age", p.opts.Clock.Since(sent)+s.Age))
	}
}

// checkEvacuation puts a change of the verdict into effect, and reports whether there was
// one. An evacuation returns the tasks that have not started, so that their entries place
// them elsewhere; runs whose start order was sent go on. The caller holds mu.
func (p *Runner) checkEvacuation() bool {
	v := p.evacuation.Verdict(p.opts.Clock.Now())
	if v == p.verdict {
		return false
	}
	p.verdict = v
	if v == evac.Evacuated {
		for _, r := range p.runs {
			if !r.startSent {
				r.giveUp(v.String())
				meter.RefusedStarts(refusedByEvacuation).Inc()
			}
		}
	}
	p.updateScheduler()
	return true
}

// closedByEvacuation reports whether the target takes no tasks because its data centre is
// evacuated, or because the agent has not been told yet. The caller holds mu.
func (p *Runner) closedByEvacuation() bool {
	return p.verdict == evac.Evacuated || p.verdict == evac.Starting
}

// IsEvacuated reports whether the agent's data centre is evacuated, as far as it knows.
func (p *Runner) IsEvacuated() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.verdict == evac.Evacuated
}

// evacuationLoop asks keepers when the information on the evacuation is missing or old.
func (p *Runner) evacuationLoop(ctx context.Context) {
	t := p.opts.Evacuation
	for t.Limit > 0 && ctx.Err() == nil {
		p.mu.Lock()
		p.checkEvacuation()
		mustAsk := p.evacuation.MustAsk(p.opts.Clock.Now())
		p.mu.Unlock()
		pause := t.CheckInterval
		if mustAsk {
			select {
			case <-ctx.Done():
				return
			case <-p.askKeepers():
			}
			p.mu.Lock()
			p.checkEvacuation()
			if now := p.opts.Clock.Now(); p.evacuation.MustAsk(now) {
				pause = p.evacuation.Pause(now)
				pause += rand.N(pause)
			}
			p.mu.Unlock()
		}
		select {
		case <-ctx.Done():
		case <-p.opts.Clock.After(pause):
		}
	}
}

// askKeepers asks keepers whether the data centre is evacuated, and returns a channel that is
// closed when a recent answer has been processed or the time is up. Only one question is in
// progress at a time.
func (p *Runner) askKeepers() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.asked:
	default:
		return p.asked
	}
	done := make(chan struct{})
	p.asked = done
	p.node.Go(func() {
		defer close(done)
		p.runQuestion()
	})
	return done
}

// runQuestion asks keepers until one of them gives recent information.
func (p *Runner) runQuestion() {
	ctx, cancel := context.WithTimeout(context.Background(), p.opts.Evacuation.AskTimeout)
	defer cancel()
	began := p.opts.Clock.Now()
	addrs := p.finder.Addresses(keys.Keeper)
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	addrs = addrs[:min(len(addrs), maxAskedKeepers)]
	answers := make(chan *wire.EvacuationState, len(addrs))
	m := wire.GetEvacuation{DataCentre: p.finder.Self().DataCentre}
	for _, addr := range addrs {
		p.node.Go(func() {
			a, err := p.node.Call(ctx, link.Dest{Address: addr, Role: keys.Keeper}, m)
			s, ok := a.(wire.EvacuationState)
			if !ok {
				p.opts.Log.Debug("keeper did not say whether the data centre is evacuated", zap.String("address", addr), zap.Error(err))
				answers <- nil
				return
			}
			answers <- &s
		})
	}
	for range addrs {
		var s *wire.EvacuationState
		select {
		case s = <-answers:
		// A call to an address without a connection can outlast its own time-out.
		case <-ctx.Done():
		}
		p.mu.Lock()
		p.learnEvacuation(s, "keeper", began)
		recent := !p.evacuation.MustAsk(p.opts.Clock.Now())
		p.mu.Unlock()
		if recent {
			return
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.evacuation = p.evacuation.WithUnanswered(began)
	p.checkEvacuation()
}

// refreshEvacuation asks keepers when the information is too old to start a run by it, as
// after a pause of this process. startOrder checks the result.
func (p *Runner) refreshEvacuation(ctx context.Context, r *run) {
	// The first question may have begun before the pause, so that its answers are old, and
	// one of the others may be lost.
	for range 3 {
		p.mu.Lock()
		outdated := p.evacuation.Verdict(p.opts.Clock.Now()) == evac.Outdated
		p.mu.Unlock()
		if !outdated {
			return
		}
		select {
		case <-p.askKeepers():
		case <-ctx.Done():
			return
		case <-r.givenUp:
			return
		}
	}
}

// startRefusal returns why a run must not start now, empty when it may. It checks the clock,
// since the process may have been paused after the last check. The caller holds mu.
func (p *Runner) startRefusal() string {
	v := p.evacuation.Verdict(p.opts.Clock.Now())
	if v == evac.Permitted {
		return ""
	}
	meter.RefusedStarts(refusedByEvacuation).Inc()
	return v.String()
}
