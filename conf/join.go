package conf

import (
	"net/netip"
	"slices"

	"cyclamenrelay.example/keys"
)

// Join holds the addresses of the first nodes to ask for the other nodes.
type Join struct {
	// Addresses are link addresses of any keepers or entries. One that is alive is
	// enough.
	Addresses []string `json:"addresses,omitempty"`
	// Seeds are addresses of any services on the hosts of keepers. The keepers' links
	// must have the same port as this node's. Their link addresses are added to
	// Addresses.
	Seeds []string `json:"seeds,omitempty"`
}

// withSeeds returns s with the link addresses of its seeds in Join.Addresses. When
// the node may bootstrap the cluster and is a seed itself, the seeds are also the
// initial members, each named by its IP address.
func (s Settings) withSeeds() Settings {
	own, err := netip.ParseAddrPort(s.Node.Advertise)
	if err != nil {
		return s
	}
	var members []InitialMember
	isSeed := false
	for _, seed := range s.Join.Seeds {
		a, err := netip.ParseAddrPort(seed)
		if err != nil {
			return s // check reports it
		}
		link := netip.AddrPortFrom(a.Addr(), own.Port()).String()
		members = append(members, InitialMember{Name: a.Addr().String(), Address: link, DataCentre: s.Node.DataCentre})
		// The node's own address stays in the list: a keeper that is alone finds itself
		// by it.
		isSeed = isSeed || a.Addr() == own.Addr()
		if !slices.Contains(s.Join.Addresses, link) {
			s.Join.Addresses = append(slices.Clone(s.Join.Addresses), link)
		}
	}
	if s.Keeper.Bootstrap && isSeed && len(s.Keeper.InitialMembers) == 0 {
		s.Keeper.InitialMembers = members
	}
	return s
}

func (j Join) check(c *checker, s Settings) {
	for i, a := range j.Seeds {
		c.address(indexPath("join.seeds", i), a)
	}
	keeperWithSeeds := s.Node.Has(keys.Keeper) && len(j.Seeds) > 0
	if len(j.Addresses) == 0 && !s.bootstraps() && !keeperWithSeeds {
		c.add("join.addresses", j.Addresses, "the address of at least one keeper or entry, unless this keeper is an initial member")
	}
	for i, a := range j.Addresses {
		path := indexPath("join.addresses", i)
		c.address(path, a)
		if slices.Index(j.Addresses, a) < i {
			c.add(path, a, "an address that is not in the list already")
		}
	}
}

// bootstraps reports whether the process may start an empty cluster.
func (s Settings) bootstraps() bool {
	return s.Node.Has(keys.Keeper) && len(s.Keeper.InitialMembers) > 0
}
