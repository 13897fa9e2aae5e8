package conf

import (
	"net/netip"
	"slices"

	"cyclamenrelay.example/keys"
)

// Node says what the process is and where others reach it.
type Node struct {
	// Name identifies the process in the deployment; its certificate has the same.
	Name string `json:"name"`
	// DataCentre is the data centre that the process stands in.
	DataCentre string `json:"dataCentre"`
	// Roles are one or more of entry, keeper and agent.
	Roles []string `json:"roles,omitempty"`
	// DataFolder holds all files of the process; keepers need it.
	DataFolder string `json:"dataFolder"`
	// Listen is the IP address and UDP port of the links to other nodes.
	Listen string `json:"listen"`
	// Advertise is the address that others use, Listen by default.
	Advertise string `json:"advertise"`
}

// Has reports whether the process has the role.
func (n Node) Has(r keys.Role) bool { return slices.Contains(n.Roles, string(r)) }

func (n Node) withDefaults() Node {
	if n.Advertise == "" {
		n.Advertise = n.Listen
	}
	return n
}

func (n Node) check(c *checker) {
	c.name("node.name", n.Name, keys.ValidName)
	c.name("node.dataCentre", n.DataCentre, keys.ValidName)
	if len(n.Roles) == 0 {
		c.add("node.roles", n.Roles, "at least one of entry, keeper, agent")
	}
	for i, r := range n.Roles {
		path := index("node.roles", i)
		c.oneOf(path, r, string(keys.Entry), string(keys.Keeper), string(keys.Agent))
		if slices.Index(n.Roles, r) < i {
			c.add(path, r, "each role once")
		}
	}
	if n.Has(keys.Keeper) {
		c.file("node.dataFolder", n.DataFolder)
	}
	c.listen("node.listen", n.Listen)
	if a, err := netip.ParseAddrPort(n.Listen); n.Advertise != n.Listen || (err == nil && a.Addr().IsUnspecified()) {
		c.address("node.advertise", n.Advertise)
	}
}

// TLS names the PEM files of the process's identity.
type TLS struct {
	// CA holds the deployment's CAs, more than one while changing over.
	CA string `json:"ca"`
	// Cert is the certificate and Key its private key, readable by the owner only.
	Cert string `json:"cert"`
	Key  string `json:"key"`
	// SelfSigned makes a key at each start instead, and trusts all who reach the
	// node's links. See docs/SECURITY.md.
	SelfSigned bool `json:"selfSigned"`
}

func (t TLS) check(c *checker) {
	if t.SelfSigned {
		return
	}
	c.file("tls.ca", t.CA)
	c.file("tls.cert", t.Cert)
	c.file("tls.key", t.Key)
}
