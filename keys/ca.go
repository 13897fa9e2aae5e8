package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"slices"
	"time"

	"github.com/gravitational/trace"
)

// CAValidity is the usual validity of a CA. No certificate outlives its CA.
const CAValidity = 10 * 365 * 24 * time.Hour

const (
	// clockSkew is how long before its issue a certificate's validity starts, for
	// peers whose clocks are behind.
	clockSkew  = time.Hour
	serialBits = 127

	pemCert = "CERTIFICATE"
	pemKey  = "PRIVATE KEY"
)

// CA is the certificate authority of a deployment.
type CA struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pair KeyPair
}

// KeyPair is a certificate with its private key, both as PEM.
type KeyPair struct {
	Cert []byte
	Key  []byte
}

// NewCA creates a certificate authority that is valid from now on. The error is a
// trace.BadParameter for an invalid name or validity.
func NewCA(name string, now time.Time, validity time.Duration) (*CA, error) {
	if err := checkSubject(name, validity); err != nil {
		return nil, trace.Wrap(err)
	}
	t, err := newTemplate(name, now, now.Add(validity))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	t.IsCA, t.BasicConstraintsValid, t.MaxPathLenZero = true, true, true
	t.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageCRLSign
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	pair, err := sign(t, t, key, key)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return newCA(pair)
}

// LoadCA reads a certificate authority from PEM files.
func LoadCA(certFile, keyFile string) (*CA, error) {
	pair, err := readPair(certFile, keyFile)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	ca, err := newCA(pair)
	return ca, trace.Wrap(err, "CA of %s and %s", certFile, keyFile)
}

func newCA(pair KeyPair) (*CA, error) {
	certs, err := parseCerts(pair.Cert)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	key, err := parseKey(pair.Key)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if !certs[0].IsCA || !key.PublicKey.Equal(certs[0].PublicKey) {
		return nil, trace.BadParameter("the certificate is not a CA certificate, or the private key does not match it")
	}
	return &CA{cert: certs[0], key: key, pair: pair}, nil
}

// Write writes the CA's PEM files. The error is a trace.AlreadyExists when one
// exists.
func (ca *CA) Write(certFile, keyFile string) error {
	return trace.Wrap(ca.pair.WriteNew(certFile, keyFile))
}

// Name returns the CA's name.
func (ca *CA) Name() string { return ca.cert.Subject.CommonName }

// Issue issues a certificate with a new key to a node or an operator with the roles.
// It expires with the CA at the latest. The addresses, IP addresses or host names,
// are for clients that verify them; links verify the role and name instead. The
// error is a trace.BadParameter.
func (ca *CA) Issue(name string, roles []Role, now time.Time, validity time.Duration, addresses ...string) (KeyPair, error) {
	if err := checkSubject(name, validity); err != nil {
		return KeyPair{}, trace.Wrap(err)
	}
	if err := checkRoles(roles); err != nil {
		return KeyPair{}, trace.Wrap(err)
	}
	end := now.Add(validity)
	if end.After(ca.cert.NotAfter) {
		end = ca.cert.NotAfter
	}
	t, err := newTemplate(name, now, end)
	if err != nil {
		return KeyPair{}, trace.Wrap(err)
	}
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}
	if roles[0] != Operator {
		t.ExtKeyUsage = append(t.ExtKeyUsage, x509.ExtKeyUsageServerAuth)
	}
	for _, r := range roles {
		t.URIs = append(t.URIs, roleURI(r))
	}
	for _, a := range addresses {
		if ip := net.ParseIP(a); ip != nil {
			t.IPAddresses = append(t.IPAddresses, ip)
		} else {
			t.DNSNames = append(t.DNSNames, a)
		}
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, trace.Wrap(err)
	}
	return sign(t, ca.cert, key, ca.key)
}

// Renew issues a certificate with a new key and with the name, roles and addresses
// of the certificate in the PEM file. This CA must have signed that certificate,
// which may have expired. The error is a trace.BadParameter or AccessDenied.
func (ca *CA) Renew(certFile string, now time.Time, validity time.Duration) (KeyPair, error) {
	b, err := readFile(certFile)
	if err != nil {
		return KeyPair{}, trace.Wrap(err)
	}
	certs, err := parseCerts(b)
	if err != nil {
		return KeyPair{}, trace.Wrap(err, "file %s", certFile)
	}
	old := certs[0]
	if err := old.CheckSignatureFrom(ca.cert); err != nil {
		return KeyPair{}, trace.AccessDenied("%s is not signed by the CA %s: %v", certFile, ca.Name(), err)
	}
	p, err := peerOf(old)
	if err != nil {
		return KeyPair{}, trace.Wrap(err)
	}
	addresses := slices.Clone(old.DNSNames)
	for _, ip := range old.IPAddresses {
		addresses = append(addresses, ip.String())
	}
	return ca.Issue(p.Name, p.Roles, now, validity, addresses...)
}

func checkSubject(name string, validity time.Duration) error {
	if !validName.MatchString(name) {
		return trace.BadParameter("name %q is not valid: it must have 1 to 63 letters, digits and . _ @ -, starting with a letter or digit", name)
	}
	if validity <= 0 {
		return trace.BadParameter("validity %v must be positive", validity)
	}
	return nil
}

// checkRoles refuses certificates that are for both an operator and a node: an
// operator's certificate is carried between machines, and must not authorise a link
// between nodes.
func checkRoles(roles []Role) error {
	if len(roles) == 0 {
		return trace.BadParameter("a certificate needs at least one role")
	}
	for _, r := range roles {
		if _, err := ParseRole(string(r)); err != nil {
			return trace.Wrap(err)
		}
	}
	if len(roles) > 1 && slices.Contains(roles, Operator) {
		return trace.BadParameter("the role operator cannot be combined with other roles")
	}
	return nil
}

// newTemplate returns a certificate that is valid from clockSkew before now until
// end.
func newTemplate(name string, now, end time.Time) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     end,
	}, nil
}

// sign returns the certificate t for key, signed by the parent's key.
func sign(t, parent *x509.Certificate, key, parentKey *ecdsa.PrivateKey) (KeyPair, error) {
	der, err := x509.CreateCertificate(rand.Reader, t, parent, &key.PublicKey, parentKey)
	if err != nil {
		return KeyPair{}, trace.Wrap(err)
	}
	k, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return KeyPair{}, trace.Wrap(err)
	}
	return KeyPair{
		Cert: pem.EncodeToMemory(&pem.Block{Type: pemCert, Bytes: der}),
		Key:  pem.EncodeToMemory(&pem.Block{Type: pemKey, Bytes: k}),
	}, nil
}
