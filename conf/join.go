package conf

import (
	"slices"

	"cyclamenrelay.example/keys"
)

// Join says whom to ask first for the other nodes.
type Join struct {
	// Addresses are link addresses of any keepers or entries; one live is enough.
	Addresses []string `json:"addresses,omitempty"`
}

func (j Join) check(c *checker, s Settings) {
	if len(j.Addresses) == 0 && !s.bootstraps() {
		c.add("join.addresses", j.Addresses, "the address of at least one keeper or entry, unless this keeper is an initial member")
	}
	for i, a := range j.Addresses {
		path := index("join.addresses", i)
		c.address(path, a)
		if slices.Index(j.Addresses, a) < i {
			c.add(path, a, "each address once")
		}
	}
}

// bootstraps reports whether the process starts an empty cluster.
func (s Settings) bootstraps() bool {
	return s.Node.Has(keys.Keeper) && len(s.Keeper.InitialMembers) > 0
}
