package vitals

import (
	"fmt"
	"sync/atomic"

	"go.uber.org/zap"

	"cyclamenrelay.example/meter"
	"cyclamenrelay.example/rlog"
)

// Monitor logs each change of a group's health and exports it as metrics. They are 0
// at a keeper that does not lead the group.
type Monitor struct {
	group uint64
	log   *zap.Logger
	last  Health

	voters, heard, silenceMillis atomic.Int64
}

// NewMonitor returns the monitor of a group. There is one for each group of a process.
func NewMonitor(group uint64, log *zap.Logger) *Monitor {
	m := &Monitor{group: group, log: log}
	gauge := func(name string, value func() float64) {
		meter.Gauge(fmt.Sprintf(`%s{group="%d"}`, name, group), value)
	}
	gauge("relay_group_voters", func() float64 { return float64(m.voters.Load()) })
	gauge("relay_group_voters_heard", func() float64 { return float64(m.heard.Load()) })
	gauge("relay_group_silence_seconds", func() float64 { return float64(m.silenceMillis.Load()) / 1000 })
	return m
}

// Observe takes the status of this process's replica. It logs a warning when the group
// can bear no further loss.
func (m *Monitor) Observe(st rlog.Status) {
	h := Health{}
	if st.Role == rlog.Leader {
		h = NewHealth(st)
	}
	m.voters.Store(int64(h.Voters))
	m.heard.Store(int64(h.Heard))
	m.silenceMillis.Store(h.Silence.Milliseconds())
	if h.same(m.last) {
		return
	}
	m.last = h
	if h.Voters == 0 {
		return
	}
	log := m.log.Info
	if h.Spare() <= 0 && len(h.Silent) > 0 {
		log = m.log.Warn
	}
	log("voters heard", zap.Uint64("group", m.group), zap.Int("voters", h.Voters), zap.Int("heard", h.Heard),
		zap.Int("spare", h.Spare()), zap.Strings("silent", h.Silent), zap.Duration("silence", h.Silence))
}
