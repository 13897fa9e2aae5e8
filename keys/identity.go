package keys

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"slices"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
)

// Identity is the certificate of a node or operator with the CAs that it trusts. It
// is safe for concurrent use.
type Identity struct {
	clock                     clockwork.Clock
	caFile, certFile, keyFile string
	// ephemeral identities have no files and no CAs.
	ephemeral bool
	current   atomic.Pointer[credentials]
}

// credentials are the contents of the files at their last reading.
type credentials struct {
	cert tls.Certificate
	cas  *x509.CertPool // nil for an ephemeral identity
	self Peer
}

// Load reads an identity from PEM files. The CA file may hold several CAs, so that a
// deployment can change over from one to the next. The error is a trace.NotFound,
// AccessDenied (key readable by others, certificate not signed by a CA of the file,
// or expired) or BadParameter.
func Load(caFile, certFile, keyFile string) (*Identity, error) {
	return LoadWithClock(clockwork.NewRealClock(), caFile, certFile, keyFile)
}

// LoadWithClock is Load with a clock to check the validity of certificates by.
func LoadWithClock(c clockwork.Clock, caFile, certFile, keyFile string) (*Identity, error) {
	id := &Identity{clock: c, caFile: caFile, certFile: certFile, keyFile: keyFile}
	if err := id.Reload(); err != nil {
		return nil, trace.Wrap(err)
	}
	return id, nil
}

// Reload reads the files again, for the connections that are made from then on. On
// an error the identity is unchanged. Ephemeral identities have no files to read.
func (id *Identity) Reload() error {
	if id.ephemeral {
		return nil
	}
	ca, err := readFile(id.caFile)
	if err != nil {
		return trace.Wrap(err)
	}
	cas, err := parseCerts(ca)
	if err != nil {
		return trace.Wrap(err, "file %s", id.caFile)
	}
	pair, err := readPair(id.certFile, id.keyFile)
	if err != nil {
		return trace.Wrap(err)
	}
	cert, err := tls.X509KeyPair(pair.Cert, pair.Key)
	if err != nil {
		return trace.BadParameter("files %s and %s: %v", id.certFile, id.keyFile, err)
	}
	m := &credentials{cert: cert, cas: x509.NewCertPool()}
	for _, c := range cas {
		m.cas.AddCert(c)
	}
	m.self, err = m.verify([]*x509.Certificate{cert.Leaf}, id.clock.Now())
	if err != nil {
		return trace.Wrap(err, "file %s", id.certFile)
	}
	id.current.Store(m)
	return nil
}

// Self returns the identity's own name and roles.
func (id *Identity) Self() Peer { return id.current.Load().self }

// resetLabel makes the reset key differ from other hashes of the private key.
const resetLabel = "cyclamenrelay stateless reset"

// ResetKey returns the key for QUIC stateless resets. It is the same at each start of
// the node, so that a restarted node can end its peers' old connections.
func (id *Identity) ResetKey() [32]byte {
	if id.ephemeral {
		return ephemeralResetKey(id.Self().Name)
	}
	b, err := x509.MarshalPKCS8PrivateKey(id.current.Load().cert.PrivateKey)
	if err != nil {
		panic("keys: a loaded private key cannot be encoded: " + err.Error())
	}
	return sha256.Sum256(append([]byte(resetLabel), b...))
}

// NotAfter returns when the identity's certificate expires.
func (id *Identity) NotAfter() time.Time { return id.current.Load().cert.Leaf.NotAfter }

// ServerConfig returns the TLS configuration of a listener for links. Its peers must
// have one of the allowed roles, or any role of a node when none is given.
func (id *Identity) ServerConfig(allowed ...Role) *tls.Config {
	if len(allowed) == 0 {
		allowed = nodeRoles
	}
	return id.config("", allowed, Protocol)
}

// ClientConfig returns the TLS configuration for dialling a link. The peer must have
// one of the wanted roles, or any role of a node when none is given.
func (id *Identity) ClientConfig(want ...Role) *tls.Config {
	return id.ClientConfigFor("", want...)
}

// ClientConfigFor is ClientConfig for a peer that must also have the name.
func (id *Identity) ClientConfigFor(name string, want ...Role) *tls.Config {
	if len(want) == 0 {
		want = nodeRoles
	}
	return id.config(name, want, Protocol)
}

// OperatorServerConfig returns the TLS configuration of the operators' HTTPS
// listener.
func (id *Identity) OperatorServerConfig() *tls.Config {
	return id.config("", []Role{Operator}, "h2", "http/1.1")
}

// OperatorClientConfig returns an operator's TLS configuration for HTTPS to an entry.
func (id *Identity) OperatorClientConfig() *tls.Config {
	return id.config("", []Role{Entry}, "h2", "http/1.1")
}

// config returns the TLS configuration for either side. The peer must have one of the
// roles and, unless it is empty, the name. VerifyConnection does the whole
// verification in place of the standard one, which checks host names and CAs that are
// fixed at the start: nodes are addressed by IP, and CAs may be reloaded.
// VerifyConnection runs on each handshake, also on resumed ones.
func (id *Identity) config(name string, roles []Role, protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		NextProtos:         protocols,
		Time:               id.clock.Now,
		ClientAuth:         tls.RequireAnyClientCert,
		InsecureSkipVerify: true,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &id.current.Load().cert, nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &id.current.Load().cert, nil
		},
		VerifyConnection: func(cs tls.ConnectionState) error {
			p, err := id.current.Load().verify(cs.PeerCertificates, id.clock.Now())
			if err != nil {
				return trace.Wrap(err)
			}
			if name != "" && p.Name != name {
				return trace.AccessDenied("the peer's name is %q, expected %q", p.Name, name)
			}
			if !slices.ContainsFunc(roles, p.Has) {
				return trace.AccessDenied("the peer %q has the roles %v, expected one of %v", p.Name, p.Roles, roles)
			}
			return nil
		},
	}
}

// verify returns the holder of certs[0], which a trusted CA must have signed.
// Ephemeral identities accept any certificate.
func (m *credentials) verify(certs []*x509.Certificate, now time.Time) (Peer, error) {
	if len(certs) == 0 {
		return Peer{}, trace.AccessDenied("the peer has no certificate")
	}
	if m.cas == nil {
		return peerOf(certs[0])
	}
	_, err := certs[0].Verify(x509.VerifyOptions{
		Roots:       m.cas,
		CurrentTime: now,
		KeyUsages:   []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
	})
	if err != nil {
		return Peer{}, trace.AccessDenied("certificate of %q: %v", certs[0].Subject.CommonName, err)
	}
	return peerOf(certs[0])
}
