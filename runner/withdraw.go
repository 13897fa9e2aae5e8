package runner

import (
	"context"

	"cyclamenrelay.example/link"
	"cyclamenrelay.example/wire"
)

// handleWithdraw gives up a run of the peer that has not started, or only reports that it
// could.
func (p *Runner) handleWithdraw(_ context.Context, peer link.Peer, m wire.WithdrawRun) wire.Message {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.byKey[RunKey{Task: m.Task, Run: m.Run}]
	if r == nil || r.entry != peer.Name || r.startSent {
		return wire.Refused{Reason: "the run does not wait here"}
	}
	if !m.Query {
		r.giveUp("the entry withdrew the run")
	}
	return wire.Done{}
}

// giveUpWaiting gives up the runs that have not started. The caller holds mu.
func (p *Runner) giveUpWaiting(reason string) {
	for _, r := range p.runs {
		if !r.startSent {
			r.giveUp(reason)
		}
	}
}
