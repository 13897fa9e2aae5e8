package keys

import (
	"crypto/sha256"
	"crypto/tls"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
)

// ephemeralValidity is how long an ephemeral certificate is said to hold. Its
// peers do not check it, since the time of day may jump.
const ephemeralValidity = 10 * 365 * 24 * time.Hour

// Ephemeral returns an identity whose key is made now and signed by nobody that
// others know. It takes the name and roles of any peer as they are stated: it
// is for networks that let only the system's own processes reach its ports.
// The error is a trace.BadParameter for a bad name or role.
func Ephemeral(c clockwork.Clock, name string, roles []Role) (*Identity, error) {
	ca, err := NewCA(name, c.Now(), ephemeralValidity)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	pair, err := ca.Node(name, roles, c.Now(), ephemeralValidity)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	cert, err := tls.X509KeyPair(pair.Cert, pair.Key)
	if err != nil {
		return nil, trace.BadParameter("certificate of %s: %v", name, err)
	}
	id := &Identity{clock: c, ephemeral: true}
	id.current.Store(&material{cert: cert, self: Peer{Name: name, Roles: roles}})
	return id, nil
}

// ephemeralReset is the reset secret of an ephemeral identity. Its key differs
// at each start, and the secret must not.
func ephemeralReset(name string) [32]byte { return sha256.Sum256([]byte(resetLabel + name)) }
