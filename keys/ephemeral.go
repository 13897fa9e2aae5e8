package keys

import (
	"crypto/sha256"
	"crypto/tls"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
)

// ephemeralValidity is the validity that an ephemeral certificate states. Peers do
// not check it, since the time of day may jump.
const ephemeralValidity = 10 * 365 * 24 * time.Hour

// NewEphemeral returns an identity with a new key and a certificate that no CA known to
// others has signed. It accepts the name and roles that any peer states without
// verifying them, so it is only for networks where nothing but the system's own
// processes can reach its ports. The error is a trace.BadParameter for an invalid
// name or role.
func NewEphemeral(c clockwork.Clock, name string, roles []Role) (*Identity, error) {
	ca, err := NewCA(name, c.Now(), ephemeralValidity)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	pair, err := ca.Issue(name, roles, c.Now(), ephemeralValidity)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	cert, err := tls.X509KeyPair(pair.Cert, pair.Key)
	if err != nil {
		return nil, trace.BadParameter("certificate of %s: %v", name, err)
	}
	id := &Identity{clock: c, ephemeral: true}
	id.current.Store(&credentials{cert: cert, self: Peer{Name: name, Roles: roles}})
	return id, nil
}

// ephemeralResetKey returns the reset key of an ephemeral identity. It is derived
// from the name, since the private key differs at each start and the reset key
// must not.
func ephemeralResetKey(name string) [32]byte { return sha256.Sum256([]byte(resetLabel + name)) }
