package keeper

import (
	"fmt"
	"sync/atomic"

	"go.uber.org/zap"

	"cyclamenrelay.example/meter"
	"cyclamenrelay.example/repair"
	"cyclamenrelay.example/rlog"
)

// groupGauges hold the health of a group for its metrics. They are 0 at a keeper
// that does not lead the group.
type groupGauges struct{ voters, heard, silenceMillis atomic.Int64 }

func newGroupGauges(group uint64) *groupGauges {
	g := &groupGauges{}
	name := func(metric string) string { return fmt.Sprintf(`%s{group="%d"}`, metric, group) }
	meter.Gauge(name("relay_group_voters"), func() float64 { return float64(g.voters.Load()) })
	meter.Gauge(name("relay_group_voters_heard"), func() float64 { return float64(g.heard.Load()) })
	meter.Gauge(name("relay_group_silence_seconds"), func() float64 { return float64(g.silenceMillis.Load()) / 1000 })
	return g
}

func (g *groupGauges) set(h repair.Health) {
	g.voters.Store(int64(h.Voters))
	g.heard.Store(int64(h.Heard))
	g.silenceMillis.Store(h.Silence.Milliseconds())
}

// observe logs each change of the group's health, and sets its metrics.
func (k *Keeper) observe(r *replica, st rlog.Status) {
	if st.Role != rlog.Leader {
		r.gauges.set(repair.Health{})
		r.health = repair.Health{}
		return
	}
	h := repair.GroupHealth(st)
	r.gauges.set(h)
	if h.Same(r.health) {
		return
	}
	r.health = h
	log := k.opts.Log.Info
	if h.Spare() <= 0 && len(h.Silent) > 0 {
		log = k.opts.Log.Warn
	}
	log("voters heard", zap.Uint64("group", r.id), zap.Int("voters", h.Voters), zap.Int("heard", h.Heard),
		zap.Int("spare", h.Spare()), zap.Strings("silent", h.Silent), zap.Duration("silence", h.Silence))
}

// notLeaderReason tells why this replica cannot serve a request as a leader.
func notLeaderReason(st rlog.Status, self rlog.ID) string {
	if _, ok := st.Members.Find(self); !ok {
		return "not the leader: this keeper is not a member of the group"
	}
	if st.Leader.Name == "" {
		return fmt.Sprintf("not the leader: none is known among %d voters", st.Members.Voters())
	}
	return "not the leader"
}
