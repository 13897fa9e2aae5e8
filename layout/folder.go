package layout

import (
	"os"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"

	"cyclamenrelay.example/conf"
	"cyclamenrelay.example/keys"
)

const fileMode = 0o644

// WriteFiles reads the description in the folder and writes the generated files
// beside it. It returns the number of files written.
func WriteFiles(folder string) (int, error) {
	b, err := os.ReadFile(filepath.Join(folder, SpecFile))
	if err != nil {
		return 0, trace.ConvertSystemError(err)
	}
	s, err := ParseSpec(b)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	files, err := s.Files()
	if err != nil {
		return 0, trace.Wrap(err)
	}
	for _, f := range files {
		if err := os.WriteFile(filepath.Join(folder, f.Name), f.Body, fileMode); err != nil {
			return 0, trace.ConvertSystemError(err)
		}
	}
	return len(files), nil
}

// IssueCertificates creates, in the subfolder tls, a CA, a certificate for each settings file
// in the folder and one for an operator. It returns the number of certificates.
func IssueCertificates(folder, operator string, now time.Time, validity time.Duration) (int, error) {
	files, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil || len(files) == 0 {
		return 0, trace.NotFound("no settings files in %s", folder)
	}
	f := keys.Folder(filepath.Join(folder, "tls"))
	ca, err := f.NewCA(filepath.Base(folder), now, max(validity, keys.CAValidity))
	if err != nil {
		return 0, trace.Wrap(err)
	}
	issued := 1
	for _, file := range files {
		if b := filepath.Base(file); b == SpecFile || b == TargetsFile {
			continue
		}
		s, err := conf.Load(file)
		if err != nil {
			return issued, trace.Wrap(err)
		}
		var roles []keys.Role
		for _, r := range s.Node.Roles {
			roles = append(roles, keys.Role(r))
		}
		if err := f.Issue(ca, s.Node.Name, roles, now, validity); err != nil {
			return issued, trace.Wrap(err)
		}
		issued++
	}
	return issued + 1, trace.Wrap(f.Issue(ca, operator, []keys.Role{keys.Operator}, now, validity))
}
