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

// Identity is a node's or operator's certificate with the CAs that it trusts.
// It may be used by several goroutines.
type Identity struct {
	clock                     clockwork.Clock
	caFile, certFile, keyFile string
	// ephemeral identities have no files and no CAs.
	ephemeral bool
	current   atomic.Pointer[material]
}

// material is what one reading of the files gave.
type material struct {
	cert tls.Certificate
	cas  *x509.CertPool
	self Peer
}

// Load reads an identity from PEM files. The CA file may hold several CAs, so
// that a deployment can go from one to the next. Errors are a trace.NotFound,
// AccessDenied (readable by others, not signed by the CA, expired) or BadParameter.
func Load(caFile, certFile, keyFile string) (*Identity, error) {
	return LoadWithClock(clockwork.NewRealClock(), caFile, certFile, keyFile)
}

// LoadWithClock is Load with the clock by which certificates expire.
func LoadWithClock(c clockwork.Clock, caFile, certFile, keyFile string) (*Identity, error) {
	id := &Identity{clock: c, caFile: caFile, certFile: certFile, keyFile: keyFile}
	if err := id.Reload(); err != nil {
		return nil, trace.Wrap(err)
	}
	return id, nil
}

// Reload reads the files again; connections made from now on use what it read.
// On an error the identity stays as it was.
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
	m := &material{cert: cert, cas: x509.NewCertPool()}
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

// resetLabel keeps the reset key apart from other uses of the private key.
const resetLabel = "cyclamenrelay stateless reset"

// ResetKey returns a secret that is the same at each start of the node, so that
// a restarted node can tell its peers that their old links are gone.
func (id *Identity) ResetKey() [32]byte {
	if id.ephemeral {
		return ephemeralReset(id.Self().Name)
	}
	b, err := x509.MarshalPKCS8PrivateKey(id.current.Load().cert.PrivateKey)
	if err != nil {
		panic("keys: a loaded private key cannot be encoded: " + err.Error())
	}
	return sha256.Sum256(append([]byte(resetLabel), b...))
}

// NotAfter returns when the identity's certificate expires.
func (id *Identity) NotAfter() time.Time { return id.current.Load().cert.Leaf.NotAfter }

// ServerConfig returns the configuration of a listener for links. Its peers
// need one of the allowed roles, or any role of a node when none is given.
func (id *Identity) ServerConfig(allowed ...Role) *tls.Config {
	if len(allowed) == 0 {
		allowed = nodeRoles
	}
	return id.config("", allowed, Protocol)
}

// ClientConfig returns the configuration for dialling a link. The peer needs
// one of the wanted roles, or any role of a node when none is given.
func (id *Identity) ClientConfig(want ...Role) *tls.Config {
	return id.ClientConfigFor("", want...)
}

// ClientConfigFor is ClientConfig for the peer with the name.
func (id *Identity) ClientConfigFor(name string, want ...Role) *tls.Config {
	if len(want) == 0 {
		want = nodeRoles
	}
	return id.config(name, want, Protocol)
}

// OperatorServerConfig returns the configuration of the operators' HTTPS listener.
func (id *Identity) OperatorServerConfig() *tls.Config {
	return id.config("", []Role{Operator}, "h2", "http/1.1")
}

// OperatorClientConfig returns an operator's configuration for HTTPS to an entry.
func (id *Identity) OperatorClientConfig() *tls.Config {
	return id.config("", []Role{Entry}, "h2", "http/1.1")
}

// config returns the configuration of either side. The standard verification
// is by host name and by CAs fixed at the start; as nodes are addressed by IP
// and CAs may be reloaded, VerifyConnection does all of it instead. It runs on
// each handshake, on resumed ones too.
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
				return trace.AccessDenied("the peer is %q, wanted is %q", p.Name, name)
			}
			if !slices.ContainsFunc(roles, p.Has) {
				return trace.AccessDenied("the peer %q has roles %v, wanted is one of %v", p.Name, p.Roles, roles)
			}
			return nil
		},
	}
}

// verify returns the holder of certs[0] when a trusted CA has signed it.
func (m *material) verify(certs []*x509.Certificate, now time.Time) (Peer, error) {
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
