// Package keys issues and loads the certificates of a deployment: one CA, and for
// each node and operator a certificate with the roles that authorise its holder.
package keys

import (
	"crypto/tls"
	"crypto/x509"
	"net/url"
	"regexp"
	"slices"
	"strings"

	"github.com/gravitational/trace"
)

// Role is a part of the system that the holder of a certificate may act as.
type Role string

// The roles.
const (
	Entry    Role = "entry"
	Keeper   Role = "keeper"
	Agent    Role = "agent"
	Operator Role = "operator"
)

// Protocol is the ALPN protocol name of the links between the system's own processes.
const Protocol = "cyclamenrelay/1"

const (
	roleScheme = "relay"
	rolePrefix = "role/"
)

var (
	allRoles  = []Role{Entry, Keeper, Agent, Operator}
	nodeRoles = []Role{Entry, Keeper, Agent}
	validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._@-]{0,62}$`)
)

// ValidName reports whether name is valid as the name of a node or operator: 1 to 63
// letters, digits and . _ @ -, starting with a letter or digit.
func ValidName(name string) bool { return validName.MatchString(name) }

// ParseRole returns the role with the name. The error is a trace.BadParameter.
func ParseRole(name string) (Role, error) {
	r := Role(name)
	if !slices.Contains(allRoles, r) {
		return "", trace.BadParameter("role %q is unknown, allowed are entry, keeper, agent and operator", name)
	}
	return r, nil
}

// Peer is the holder of a certificate: a node or an operator.
type Peer struct {
	Name  string
	Roles []Role
}

// Has reports whether p has the role.
func (p Peer) Has(r Role) bool { return slices.Contains(p.Roles, r) }

// PeerOf returns the peer of a connection whose TLS configuration came from an
// Identity and has verified the certificate. The error is a trace.AccessDenied.
func PeerOf(cs tls.ConnectionState) (Peer, error) {
	if len(cs.PeerCertificates) == 0 {
		return Peer{}, trace.AccessDenied("the peer has no certificate")
	}
	return peerOf(cs.PeerCertificates[0])
}

// peerOf reads the name and roles from a certificate. Roles that this version does
// not know are ignored, so that a newer version can add some.
func peerOf(c *x509.Certificate) (Peer, error) {
	p := Peer{Name: c.Subject.CommonName}
	for _, u := range c.URIs {
		if u.Scheme != roleScheme || !strings.HasPrefix(u.Opaque, rolePrefix) {
			continue
		}
		if r, err := ParseRole(strings.TrimPrefix(u.Opaque, rolePrefix)); err == nil && !p.Has(r) {
			p.Roles = append(p.Roles, r)
		}
	}
	if !validName.MatchString(p.Name) || len(p.Roles) == 0 {
		return Peer{}, trace.AccessDenied("certificate of %q has no valid name and role", p.Name)
	}
	return p, nil
}

func roleURI(r Role) *url.URL {
	return &url.URL{Scheme: roleScheme, Opaque: rolePrefix + string(r)}
}
