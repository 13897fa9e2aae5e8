package keys

import (
	"os"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"
)

const folderMode = 0o700

// Folder is the path of a folder with the PEM files of a deployment: ca.pem and
// ca.key, and NAME.pem and NAME.key for each node and operator.
type Folder string

// Cert returns the path of the certificate with the name, "ca" for the CA's.
func (f Folder) Cert(name string) string { return filepath.Join(string(f), name+".pem") }

// Key returns the path of the private key with the name.
func (f Folder) Key(name string) string { return filepath.Join(string(f), name+".key") }

// NewCA creates the folder if it does not exist, and a CA in it. The error is a
// trace.AlreadyExists when the folder has a CA already.
func (f Folder) NewCA(name string, now time.Time, validity time.Duration) (*CA, error) {
	if err := os.MkdirAll(string(f), folderMode); err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	ca, err := NewCA(name, now, validity)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return ca, trace.Wrap(ca.Write(f.Cert("ca"), f.Key("ca")))
}

// CA loads the folder's CA.
func (f Folder) CA() (*CA, error) { return LoadCA(f.Cert("ca"), f.Key("ca")) }

// Issue issues a certificate and writes it and its key to the folder. The error is a
// trace.AlreadyExists when the folder has a certificate or key of the name.
func (f Folder) Issue(ca *CA, name string, roles []Role, now time.Time, validity time.Duration, addresses ...string) error {
	pair, err := ca.Issue(name, roles, now, validity, addresses...)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(pair.WriteNew(f.Cert(name), f.Key(name)))
}
