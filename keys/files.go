package keys

import (
	"crypto/ecdsa"
	"crypto/x509"
	"encoding/pem"
	"io"
	"os"
	"path/filepath"

	"github.com/gravitational/trace"
)

const (
	maxFile         = 1 << 20 // bytes of a PEM file
	certMode        = 0o644
	keyMode         = 0o600
	groupOtherPerms = 0o077 // permissions of group and others
)

// Write writes the PEM files, replacing each atomically if it exists. The key is
// written first, so that a reader between the two writes sees a pair that does not
// match and keeps the pair that it has loaded.
func (p KeyPair) Write(certFile, keyFile string) error {
	if err := replaceFile(keyFile, p.Key, keyMode); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(replaceFile(certFile, p.Cert, certMode))
}

// WriteNew is Write for files that must not exist. The error is a
// trace.AlreadyExists when one does.
func (p KeyPair) WriteNew(certFile, keyFile string) error {
	for _, f := range []string{certFile, keyFile} {
		if _, err := os.Stat(f); err == nil {
			return trace.AlreadyExists("%s already exists", f)
		}
	}
	return trace.Wrap(p.Write(certFile, keyFile))
}

// replaceFile writes the file atomically, by renaming a temporary file in the same
// folder.
func replaceFile(name string, b []byte, mode os.FileMode) error {
	f, err := os.CreateTemp(filepath.Dir(name), "."+filepath.Base(name)+".*")
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	_, err = f.Write(b)
	if err == nil {
		err = f.Chmod(mode)
	}
	if err == nil {
		err = f.Sync()
	}
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	if err == nil {
		err = os.Rename(f.Name(), name)
	}
	if err != nil {
		_ = os.Remove(f.Name())
	}
	return trace.ConvertSystemError(err)
}

// readPair reads a certificate and its private key. The error is a
// trace.AccessDenied when group or others have any permission on the key file.
func readPair(certFile, keyFile string) (KeyPair, error) {
	cert, err := readFile(certFile)
	if err != nil {
		return KeyPair{}, trace.Wrap(err)
	}
	info, err := os.Stat(keyFile)
	if err != nil {
		return KeyPair{}, trace.ConvertSystemError(err)
	}
	if m := info.Mode().Perm(); m&groupOtherPerms != 0 {
		return KeyPair{}, trace.AccessDenied("%s has mode %04o, a private key must be accessible by its owner only (0600)", keyFile, m)
	}
	key, err := readFile(keyFile)
	if err != nil {
		return KeyPair{}, trace.Wrap(err)
	}
	return KeyPair{Cert: cert, Key: key}, nil
}

func readFile(name string) ([]byte, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	defer func() { _ = f.Close() }()
	b, err := io.ReadAll(io.LimitReader(f, maxFile+1))
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	if len(b) > maxFile {
		return nil, trace.LimitExceeded("%s is longer than %d bytes", name, maxFile)
	}
	return b, nil
}

// parseCerts returns the certificates in a PEM file, which must have at least one.
func parseCerts(b []byte) ([]*x509.Certificate, error) {
	var out []*x509.Certificate
	for {
		var block *pem.Block
		block, b = pem.Decode(b)
		if block == nil {
			break
		}
		if block.Type != pemCert {
			continue
		}
		c, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, trace.BadParameter("certificate: %v", err)
		}
		out = append(out, c)
	}
	if len(out) == 0 {
		return nil, trace.BadParameter("no PEM certificate found")
	}
	return out, nil
}

func parseKey(b []byte) (*ecdsa.PrivateKey, error) {
	block, _ := pem.Decode(b)
	if block == nil || block.Type != pemKey {
		return nil, trace.BadParameter("no PEM private key found")
	}
	k, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, trace.BadParameter("private key: %v", err)
	}
	e, ok := k.(*ecdsa.PrivateKey)
	if !ok {
		return nil, trace.BadParameter("private key is a %T, it must be an ECDSA key", k)
	}
	return e, nil
}
