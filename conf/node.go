package conf

import (
	"net/netip"
	"slices"

	"cyclamenrelay.example/keys"
)

// Node holds the identity of the process and its addresses.
type Node struct {
	// Name identifies the process in the deployment. Its certificate must have the same
	// name.
	Name string `json:"name"`
	// DataCentre is the data centre that the process runs in.
	DataCentre string `json:"dataCentre"`
	// Roles are one or more of entry, keeper and agent.
	Roles []string `json:"roles,omitempty"`
	// DataFolder is the folder for all files of the process. Keepers need one.
	DataFolder string `json:"dataFolder"`
	// Listen is the IP address and UDP port of the links to other nodes.
	Listen string `json:"listen"`
	// Advertise is the address that other nodes connect to, Listen by default.
	Advertise string `json:"advertise"`
	// Size is the process's share of processors in cores. Agents prefer larger entries. Unset,
	// an entry counts as the mean of the others.
	Size Number `json:"size"`
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
		path := indexPath("node.roles", i)
		c.oneOf(path, r, string(keys.Entry), string(keys.Keeper), string(keys.Agent))
		if slices.Index(n.Roles, r) < i {
			c.add(path, r, "a role that is not in the list already")
		}
	}
	if n.Has(keys.Keeper) {
		c.file("node.dataFolder", n.DataFolder)
	}
	c.listen("node.listen", n.Listen)
	c.optional("node.size", n.Size, 0.001, 1024)
	if a, err := netip.ParseAddrPort(n.Listen); n.Advertise != n.Listen || (err == nil && a.Addr().IsUnspecified()) {
		c.address("node.advertise", n.Advertise)
	}
}

// TLS holds the paths of the PEM files with the process's identity.
type TLS struct {
	// CA is the file with the deployment's CAs. It has more than one while a deployment
	// changes over to another CA.
	CA string `json:"ca"`
	// Cert is the file with the certificate, and Key the one with its private key, which
	// only its owner may be able to read.
	Cert string `json:"cert"`
	Key  string `json:"key"`
	// SelfSigned creates a key at each start in place of the files, and trusts every
	// peer that reaches the node's links. See docs/SECURITY.md.
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
