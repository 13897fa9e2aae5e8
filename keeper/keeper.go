// Package keeper serves the replicated state to the other processes: the
// configuration and the ledger groups.
package keeper

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"cyclamenrelay.example/agree"
	"cyclamenrelay.example/disk"
	"cyclamenrelay.example/group"
	"cyclamenrelay.example/kernel"
	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/ledger"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/member"
	"cyclamenrelay.example/repair"
	"cyclamenrelay.example/rlog"
	"cyclamenrelay.example/state"
	"cyclamenrelay.example/synced"
	"cyclamenrelay.example/wire"
)

// ServiceName is the name that other services find the keeper by.
const ServiceName = "keeper"

const (
	clusterName  = "cyclamenrelay"
	tickInterval = 10 * time.Millisecond
	maxInputs    = 1 << 12
)

// First is a keeper that starts an empty cluster.
type First struct{ Name, Address string }

// Options configure a Keeper.
type Options struct {
	// Folder is the data folder.
	Folder string
	// Groups is the number of ledger groups.
	Groups int
	// First are the keepers of an empty cluster; empty to join another.
	First []First
	// Retention is how long finished records are kept.
	Retention time.Duration
	// SnapshotEntries is how many entries are written between snapshots.
	SnapshotEntries int
	// AutoMembers keeps the membership as repair.Automatic decides.
	AutoMembers bool
	Clock       clockwork.Clock
	Log         *zap.Logger
}

// Keeper is the service. One goroutine owns the log groups and state machines.
type Keeper struct {
	opts   Options
	node   *link.Node
	finder *member.Finder
	table  *member.Table
	store  *disk.Store
	self   rlog.ID
	start  time.Time
	inputs chan any // group.Input, request or look
	writes chan *group.Write
	ended  chan struct{}

	mu       sync.Mutex
	changed  chan struct{} // closed when the configuration changes
	draining bool
	peers    map[string]chan wire.AgreeBatch

	// Owned by the goroutine of Run.
	host   *group.Host
	groups map[uint64]*replica
	lastID uint64
	// members is what operators decided up to the version decidedAt.
	members   map[string]bool
	decidedAt uint64
	away      repair.Away
}

// New returns a keeper whose folder is not open yet.
func New(opts Options) *Keeper {
	return &Keeper{
		opts: opts, start: opts.Clock.Now(),
		inputs: make(chan any, maxInputs), writes: make(chan *group.Write, maxInputs), ended: make(chan struct{}),
		changed: make(chan struct{}), peers: map[string]chan wire.AgreeBatch{}, groups: map[uint64]*replica{},
		away: repair.Away{},
	}
}

// Name implements kernel.Service.
func (k *Keeper) Name() string { return ServiceName }

// Start implements kernel.Starter: it opens the folder. The errors are those of disk.Open.
func (k *Keeper) Start(ks *kernel.Kernel) (err error) {
	if k.node, err = kernel.Find[*link.Node](ks, link.ServiceName); err != nil {
		return err
	}
	if k.finder, err = kernel.Find[*member.Finder](ks, member.ServiceName); err != nil {
		return err
	}
	name := k.finder.Self().Name
	k.store, err = disk.Open(k.opts.Folder, disk.Options{Cluster: clusterName, Node: name})
	if err != nil {
		return trace.Wrap(err, "data folder %s", k.opts.Folder)
	}
	id, created := k.store.Identity()
	k.self = rlog.ID{Name: name, Incarnation: id.Incarnation}
	k.finder.SetReplica(id.Incarnation)
	k.opts.Log.Info("data folder open", zap.Bool("created", created), zap.Uint64("replica", id.Incarnation))
	k.host = group.NewHost(k.self)
	for g := range uint64(k.opts.Groups + 1) {
		if err := k.load(g); err != nil {
			return err
		}
	}
	k.table = member.NewTable(k.opts.Clock, member.NodeLease)
	mx := k.node.Mux()
	serveNodes(mx, k.table, k.finder.Self)
	link.On(mx, k.batch, keys.Keeper)
	link.On(mx, k.askKeeper, keys.Keeper, keys.Entry)
	link.On(mx, k.propose, keys.Entry, keys.Keeper)
	link.On(mx, k.query, keys.Entry, keys.Keeper)
	link.On(mx, k.watch, keys.Entry)
	return nil
}

// load adds the replica of a group as it is on disk.
func (k *Keeper) load(g uint64) error {
	l, err := k.store.Load(uint32(g))
	if err != nil {
		return trace.Wrap(err, "group %d", g)
	}
	stored, err := synced.Stored(l)
	if err != nil {
		return trace.Wrap(err, "group %d", g)
	}
	return k.add(g, stored)
}

// add adds the replica of a group with its state machine.
func (k *Keeper) add(g uint64, s rlog.Stored) error {
	var m state.Machine = ledger.New()
	if g == 0 {
		m = state.NewConfig()
	}
	if len(s.Snapshot.Data) > 0 {
		if err := m.Restore(s.Snapshot.Data); err != nil {
			return trace.Wrap(err, "snapshot of group %d", g)
		}
	}
	n := agree.New(agree.Config{
		ID: k.self, Stored: s, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		SnapshotEntries: uint64(k.opts.SnapshotEntries),
	})
	k.host.Add(g, n)
	k.groups[g] = &replica{id: g, machine: m, node: n, applied: s.Snapshot.Index, proposed: map[uint64]chan reply{}, reads: map[uint64]request{}}
	return nil
}

// Run implements kernel.Service.
func (k *Keeper) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	failed := make(chan error, 1)
	ctx, cancel := context.WithCancel(ctx)
	wg.Go(func() { failed <- k.writeLoop(ctx) })
	wg.Go(func() { k.tend(ctx) })
	err := k.loop(ctx, &wg, failed)
	cancel()
	close(k.ended)
	wg.Wait()
	return trace.NewAggregate(err, k.store.Close())
}

// Drain implements kernel.Drainer: it hands leadership to other keepers while
// one of them stays.
func (k *Keeper) Drain(ctx context.Context) {
	k.mu.Lock()
	k.draining = true
	k.mu.Unlock()
	k.finder.Leave()
	for ctx.Err() == nil {
		leads := 0
		k.look(func() {
			for g, r := range k.groups {
				if s := r.node.Status(); s.Role == rlog.Leader && s.Members.Voters() > 1 {
					leads++
					k.input(group.To{Group: g, Input: rlog.Transfer{}})
				}
			}
		})
		if leads == 0 || !k.othersStay() {
			return
		}
		select {
		case <-ctx.Done():
		case <-k.ended:
			return
		case <-k.opts.Clock.After(drainPause):
		}
	}
}

// othersStay reports whether another keeper is alive and not shutting down.
func (k *Keeper) othersStay() bool {
	return slices.ContainsFunc(k.table.Live(), func(n wire.Node) bool {
		return n.Name != k.self.Name && !n.Leaving && slices.Contains(n.Roles, string(keys.Keeper))
	})
}

const drainPause = 100 * time.Millisecond

// look runs f in the goroutine that owns the groups.
func (k *Keeper) look(f func()) {
	done := make(chan struct{})
	k.input(look(func() {
		f()
		close(done)
	}))
	select {
	case <-done:
	case <-k.ended:
	}
}

type look func()

// input passes an input to the loop without blocking the loop itself.
func (k *Keeper) input(in any) {
	select {
	case k.inputs <- in:
	default:
		go func() {
			select {
			case k.inputs <- in:
			case <-k.ended:
			}
		}()
	}
}
