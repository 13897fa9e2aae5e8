package agent

import (
	"go.uber.org/zap"

	"cyclamenrelay.example/evac"
	"cyclamenrelay.example/meter"
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/share"
)

// refusedByEvacuation is the reason of relay_starts_refused_total.
const refusedByEvacuation = "evacuation"

// withdrawIfEvacuated returns the starts that wait for a slot to their entries when the
// target's data centre is evacuated.
func (a *Agent) withdrawIfEvacuated() {
	cfg := a.opts.View.Config()
	a.mu.Lock()
	defer a.mu.Unlock()
	waiting := len(a.undecided)
	if waiting == 0 || a.targetLease == nil || !a.compiledRules(cfg).IsEvacuated(a.targetLease.target.DataCentre) {
		return
	}
	a.stepLocked(share.Withdraw{})
	returned := waiting - len(a.undecided)
	meter.RefusedStarts(refusedByEvacuation).Add(returned)
	a.opts.Log.Info("waiting tasks returned, the data centre is evacuated", zap.String("dataCentre", a.targetLease.target.DataCentre),
		zap.Uint64("version", cfg.Version()), zap.Int("tasks", returned))
}

// lateRefusal returns the refusal of a task that has got its slot, if the configuration has
// become outdated or the data centre evacuated while the task waited. The process may also
// have been paused.
func (a *Agent) lateRefusal(l *lease) *model.NotRun {
	if !a.opts.View.Usable() {
		return &model.NotRun{Code: model.CodeStale, Reason: "the agent has no fresh configuration"}
	}
	cfg := a.opts.View.Config()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.compiledRules(cfg).IsEvacuated(l.target.DataCentre) {
		meter.RefusedStarts(refusedByEvacuation).Inc()
		return &model.NotRun{Code: model.CodeLeaving, Reason: evac.Evacuated.String()}
	}
	return nil
}
