package route

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/model"
	"cyclamenrelay.example/place"
	"cyclamenrelay.example/wire"
)

const (
	reportInterval = time.Second     // between reports to the hub
	reportLife     = 5 * time.Second // for which the hub counts a report
	// othersName stands for all other entries in the hub's answer.
	othersName = "*"
)

// useReport is the last report of another entry on its teams.
type useReport struct {
	received time.Time
	use      wire.TeamUse
}

// reportUse reports the use of team quotas at this entry to the hub, whose answer
// is the use at all other entries. It does so only while teams are configured. The
// hub is the same entry for all, so that the number of messages grows with the
// number of entries and not with its square.
func (r *Router) reportUse(ctx context.Context, wg *sync.WaitGroup) {
	if len(r.opts.View.Config().Items(model.SectionTeam)) == 0 {
		return
	}
	hub, ok := r.hub()
	if !ok || hub.Name == r.finder.Self().Name {
		return
	}
	use := r.core.TeamUse(r.finder.Self().Name)
	r.sendAsync(ctx, wg, func(ctx context.Context) error {
		a, err := r.node.Call(ctx, link.Dest{Address: hub.Address, Role: keys.Entry}, use)
		if others, ok := a.(wire.TeamUse); ok {
			r.send(event{in: place.PeerUse{Use: others}})
		}
		return err
	})
}

// hub returns the entry that adds up the use of team quotas at all entries.
func (r *Router) hub() (wire.Node, bool) {
	entries := r.finder.Nodes(keys.Entry)
	if len(entries) == 0 {
		return wire.Node{}, false
	}
	return model.Rendezvous("teams", entries, func(n wire.Node) string { return n.Name })[0], true
}

// onTeamUse handles the report of an entry and answers with the use at all others.
func (r *Router) onTeamUse(_ context.Context, p link.Peer, m wire.TeamUse) wire.Message {
	if m.Entry != p.Name {
		return wire.Refused{Reason: "the sender's name is not the certificate's"}
	}
	r.send(event{in: place.PeerUse{Use: m}})
	others := wire.TeamUse{Entry: othersName, Teams: map[string]int{}}
	r.WithCore(func(c *place.Core) {
		now := r.opts.Clock.Now()
		r.useReports[m.Entry] = useReport{received: now, use: m}
		for team, n := range c.TeamUse("").Teams {
			others.Teams[team] += n
		}
		for name, u := range r.useReports {
			if now.Sub(u.received) > reportLife {
				delete(r.useReports, name)
				continue
			}
			if name == m.Entry {
				continue
			}
			for team, n := range u.use.Teams {
				others.Teams[team] += n
			}
		}
	})
	r.opts.Log.Debug("team use reported", zap.String("entry", m.Entry), zap.Int("teams", len(m.Teams)))
	return others
}
