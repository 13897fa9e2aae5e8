package conf

import (
	"slices"
	"strings"

	"cyclamenrelay.example/keys"
)

const (
	defaultGroups          = 4
	maxGroups              = 64
	maxKeepers             = 21
	maxTolerance           = (maxKeepers - 1) / 2
	defaultSnapshotEntries = 20_000
	minSnapshotEntries     = 100
	maxSnapshotEntries     = 10_000_000
	hour                   = 3600 // seconds
)

// Keeper holds the settings of the role keeper.
type Keeper struct {
	// Groups is the number of ledger groups. It is fixed when a cluster is started, and
	// must be the same at all keepers.
	Groups int `json:"groups"`
	// InitialMembers are the keepers that start an empty cluster. They have no effect
	// after that. A keeper that joins a cluster has none.
	InitialMembers []InitialMember `json:"initialMembers,omitempty"`
	// Bootstrap makes the seeds the initial members.
	Bootstrap bool `json:"bootstrap"`
	// AutoMembers adds each live keeper as a member, and removes members that stay
	// absent while others replace them.
	AutoMembers bool `json:"autoMembers"`
	// Tolerance is the number of keepers that may be lost at the same time, CatchUp
	// the time for which a keeper that has come back, or the successor of a lost one,
	// must have run until the next may be lost. AutoMembers keeps to both.
	Tolerance int      `json:"tolerance"`
	CatchUp   Duration `json:"catchUp"`
	// ToleratedDataCentres is the number of data centres that may be lost at the same
	// time. From 1 on, AutoMembers keeps a quorum of the voters outside of each.
	ToleratedDataCentres int `json:"toleratedDataCentres"`
	// SnapshotEntries is the number of log entries between snapshots.
	SnapshotEntries int `json:"snapshotEntries"`
	// Retention is how long the ledger keeps the records of jobs and claims.
	Retention Duration `json:"retention"`
}

// InitialMember is one of the keepers that start an empty cluster.
type InitialMember struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
}

func defaultKeeper() Keeper {
	return Keeper{
		Groups: defaultGroups, SnapshotEntries: defaultSnapshotEntries, Retention: seconds(24 * hour),
		Tolerance: 1, CatchUp: seconds(10),
	}
}

func (k Keeper) check(c *checker, n Node) {
	c.number("keeper.groups", k.Groups, 1, maxGroups)
	c.number("keeper.snapshotEntries", k.SnapshotEntries, minSnapshotEntries, maxSnapshotEntries)
	c.duration("keeper.retention", k.Retention, seconds(60), seconds(30*24*hour))
	c.number("keeper.tolerance", k.Tolerance, 0, maxTolerance)
	c.number("keeper.toleratedDataCentres", k.ToleratedDataCentres, 0, maxKeepers)
	c.duration("keeper.catchUp", k.CatchUp, 0, seconds(hour))
	if len(k.InitialMembers) > maxKeepers {
		c.add("keeper.initialMembers", len(k.InitialMembers), "at most 21 members")
	}
	for i, m := range k.InitialMembers {
		path := indexPath("keeper.initialMembers", i)
		c.name(path+".name", m.Name, keys.ValidName)
		c.name(path+".dataCentre", m.DataCentre, keys.ValidName)
		c.address(path+".address", m.Address)
		earlier := k.InitialMembers[:i]
		if slices.ContainsFunc(earlier, func(o InitialMember) bool { return strings.EqualFold(o.Name, m.Name) }) {
			c.add(path+".name", m.Name, "a name that no earlier member has")
		}
		if slices.ContainsFunc(earlier, func(o InitialMember) bool { return o.Address == m.Address }) {
			c.add(path+".address", m.Address, "an address that no earlier member has")
		}
	}
	self := InitialMember{Name: n.Name, Address: n.Advertise, DataCentre: n.DataCentre}
	if n.Has(keys.Keeper) && len(k.InitialMembers) > 0 && !slices.Contains(k.InitialMembers, self) {
		c.add("keeper.initialMembers", "", "a list with this node's own name, advertised address and data centre, or an empty one")
	}
}
