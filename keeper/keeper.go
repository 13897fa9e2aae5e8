// Package keeper runs this process's Raft replicas of the configuration group
// (group 0) and the ledger groups, and serves commands and queries to the other
// processes.
package keeper

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"cyclamenrelay.example/disk"
	"cyclamenrelay.example/group"
	"cyclamenrelay.example/kernel"
	"cyclamenrelay.example/keys"
	"cyclamenrelay.example/ledger"
	"cyclamenrelay.example/link"
	"cyclamenrelay.example/member"
	"cyclamenrelay.example/raft"
	"cyclamenrelay.example/repair"
	"cyclamenrelay.example/rlog"
	"cyclamenrelay.example/rstore"
	"cyclamenrelay.example/state"
	"cyclamenrelay.example/vitals"
	"cyclamenrelay.example/wire"
)

// ServiceName is the name that other services find the keeper by.
const ServiceName = "keeper"

const (
	clusterName  = "cyclamenrelay"
	tickInterval = 10 * time.Millisecond
	maxInputs    = 1 << 12
)

// InitialMember is one of the initial keepers, which bootstrap a new cluster.
type InitialMember struct{ Name, Address string }

// Options configure a Keeper.
type Options struct {
	// Folder is the data folder.
	Folder string
	// Groups is the number of ledger groups.
	Groups int
	// InitialMembers lists the initial keepers of a new cluster; empty to join an
	// existing one.
	InitialMembers []InitialMember
	// Retention is how long finished records are kept.
	Retention time.Duration
	// SnapshotEntries is the number of log entries between snapshots.
	SnapshotEntries int
	// AutoMembers lets repair.Automatic decide the membership instead of
	// operators, within the Limits.
	AutoMembers bool
	Limits      repair.Limits
	Clock       clockwork.Clock
	Log         *zap.Logger
}

// Keeper is the service. One goroutine, that of Run, owns the Raft groups and
// their state machines.
type Keeper struct {
	opts      Options
	node      *link.Node
	finder    *member.Finder
	table     *member.Table
	store     *disk.Store
	self      rlog.ID
	start     time.Time
	inputs    chan any // group.Input, request or loopFunc
	writes    chan *group.Write
	loopEnded chan struct{} // closed by Run

	mu            sync.Mutex
	configChanged chan struct{} // closed when the configuration changes
	draining      bool
	sendQueues    map[string]chan wire.RaftBatch

	// Owned by the goroutine of Run.
	host          *group.Host
	groups        map[uint64]*replica
	lastRequestID uint64
	// desired is the membership set by operators, as of the configuration
	// version desiredVersion.
	desired        map[string]bool
	desiredVersion uint64
	// configVersion is the version of the applied configuration, and configAppliedAt when
	// it was applied, as now.
	configVersion   uint64
	configAppliedAt time.Duration
}

// New returns a keeper; Start opens its data folder.
func New(opts Options) *Keeper {
	return &Keeper{
		opts: opts, start: opts.Clock.Now(),
		inputs: make(chan any, maxInputs), writes: make(chan *group.Write, maxInputs), loopEnded: make(chan struct{}),
		configChanged: make(chan struct{}), sendQueues: map[string]chan wire.RaftBatch{}, groups: map[uint64]*replica{},
	}
}

// Name implements kernel.Service.
func (k *Keeper) Name() string { return ServiceName }

// Start implements kernel.Starter: it opens the data folder, loads the replicas
// and registers the message handlers. The errors are those of disk.Open.
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
	if err := k.opts.Limits.Check(); err != nil && k.opts.AutoMembers {
		k.opts.Log.Warn("a lost keeper may be replaced too late", zap.Error(err))
	}
	k.host = group.NewHost(k.self)
	for g := range uint64(k.opts.Groups + 1) {
		if err := k.loadReplica(g); err != nil {
			return err
		}
	}
	k.table = member.NewTable(k.opts.Clock, member.NodeLease)
	mx := k.node.Mux()
	serveNodes(mx, k.table, k.finder.Self)
	link.Handle(mx, k.receiveBatch, keys.Keeper)
	link.Handle(mx, k.keeperState, keys.Keeper, keys.Entry)
	link.Handle(mx, k.propose, keys.Entry, keys.Keeper)
	link.Handle(mx, k.query, keys.Entry, keys.Keeper)
	link.Handle(mx, k.watchConfig, keys.Entry)
	link.Handle(mx, k.evacuationState, keys.Agent)
	return nil
}

// loadReplica adds the replica of a group with its state on disk.
func (k *Keeper) loadReplica(g uint64) error {
	l, err := k.store.Load(uint32(g))
	if err != nil {
		return trace.Wrap(err, "group %d", g)
	}
	stored, err := rstore.ReplicaState(l)
	if err != nil {
		return trace.Wrap(err, "group %d", g)
	}
	return k.addReplica(g, stored)
}

// addReplica adds the replica of a group from its stored state.
func (k *Keeper) addReplica(g uint64, s rlog.StoredState) error {
	var m state.Machine = ledger.New()
	if g == 0 {
		m = state.NewConfig()
	}
	if len(s.Snapshot.Data) > 0 {
		if err := m.Restore(s.Snapshot.Data); err != nil {
			return trace.Wrap(err, "snapshot of group %d", g)
		}
	}
	n := raft.New(raft.Config{
		ID: k.self, Stored: s, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		SnapshotEntries: uint64(k.opts.SnapshotEntries),
	})
	k.host.Add(g, n)
	monitor := vitals.NewMonitor(g, k.opts.Log)
	if old := k.groups[g]; old != nil {
		monitor = old.monitor
	}
	k.groups[g] = &replica{
		id: g, self: k.self, machine: m, node: n, applied: s.Snapshot.Index, monitor: monitor, members: repair.NewAutomatic(k.opts.Limits),
		pendingCommands: map[uint64]chan reply{}, pendingQueries: map[uint64]request{},
	}
	return nil
}

// Run implements kernel.Service.
func (k *Keeper) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	failed := make(chan error, 1)
	ctx, cancel := context.WithCancel(ctx)
	wg.Go(func() { failed <- k.writeLoop(ctx) })
	wg.Go(func() { k.maintain(ctx) })
	err := k.loop(ctx, &wg, failed)
	cancel()
	close(k.loopEnded)
	wg.Wait()
	return trace.NewAggregate(err, k.store.Close())
}

// runInLoop runs f in the goroutine that owns the groups, and waits for it.
func (k *Keeper) runInLoop(f func()) {
	done := make(chan struct{})
	k.input(loopFunc(func() {
		f()
		close(done)
	}))
	select {
	case <-done:
	case <-k.loopEnded:
	}
}

type loopFunc func()

// input queues an input for the loop. It never blocks, so that the loop itself
// may call it.
func (k *Keeper) input(in any) {
	select {
	case k.inputs <- in:
	default:
		go func() {
			select {
			case k.inputs <- in:
			case <-k.loopEnded:
			}
		}()
	}
}
