// Package conf reads the settings of a process from JSON, fills in defaults and
// validates them. It checks all fields, so that all errors are reported at once.
package conf

import (
	"bytes"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"strconv"

	"github.com/gravitational/trace"
)

// maxSettings bounds a settings file, in bytes.
const maxSettings = 1 << 20

// Settings holds the settings of one process.
type Settings struct {
	Node      Node      `json:"node"`
	TLS       TLS       `json:"tls"`
	Join      Join      `json:"join"`
	Keeper    Keeper    `json:"keeper"`
	Entry     Entry     `json:"entry"`
	Agent     Agent     `json:"agent"`
	Freshness Freshness `json:"freshness"`
	Log       Log       `json:"log"`
	Spans     Spans     `json:"spans"`
	Metrics   Metrics   `json:"metrics"`
	Platform  Platform  `json:"platform"`
	Limits    Limits    `json:"limits"`
}

// Default returns the settings that apply where a settings file has no field.
func Default() Settings {
	return Settings{
		Keeper:    defaultKeeper(),
		Entry:     defaultEntry(),
		Agent:     defaultAgent(),
		Freshness: defaultFreshness(),
		Log:       defaultLog(),
		Spans:     defaultSpans(),
		Platform:  defaultPlatform(),
	}
}

// Load reads and checks a settings file. Relative paths in it are relative to the
// file's folder and are returned joined to it. The error is a trace.NotFound or
// AccessDenied for the file, or wraps Problems.
func Load(path string) (Settings, error) {
	f, err := os.Open(path)
	if err != nil {
		return Settings{}, trace.ConvertSystemError(err)
	}
	defer func() { _ = f.Close() }()
	b, err := io.ReadAll(io.LimitReader(f, maxSettings+1))
	if err != nil {
		return Settings{}, trace.ConvertSystemError(err)
	}
	s, err := Parse(b)
	if err != nil {
		return Settings{}, trace.Wrap(err, "settings %s", path)
	}
	return s.resolvePaths(filepath.Dir(path)), nil
}

// Parse decodes and checks settings. The error wraps Problems.
func Parse(b []byte) (Settings, error) {
	s := Default()
	c := &checker{}
	c.decode(b, &s)
	s.Node = s.Node.withDefaults()
	s = s.withSeeds()
	s.check(c)
	if err := c.err(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// Validate checks all settings. The error wraps Problems.
func (s Settings) Validate() error {
	c := &checker{}
	s.check(c)
	return c.err()
}

func (s Settings) check(c *checker) {
	s.Node.check(c)
	s.TLS.check(c)
	s.Join.check(c, s)
	s.Keeper.check(c, s.Node)
	s.Entry.check(c, s)
	s.Agent.check(c, s)
	s.Freshness.check(c)
	s.Log.check(c)
	s.Spans.check(c)
	s.Metrics.check(c)
	s.Platform.check(c, s.Node)
	s.Limits.check(c)
	s.checkListeners(c)
}

// checkListeners reports listeners that have the same TCP address.
func (s Settings) checkListeners(c *checker) {
	seen := map[string]string{}
	for _, l := range []struct{ path, addr string }{
		{"entry.callers", s.Entry.Callers},
		{"entry.operators", s.Entry.Operators},
		{"agent.targets", s.Agent.Targets},
		{"metrics.listen", s.Metrics.Listen},
		{"platform.callers", s.Platform.Callers},
		{"platform.ready", s.Platform.Ready},
		{"platform.control", s.Platform.Control},
	} {
		if l.addr == "" {
			continue
		}
		if other, ok := seen[l.addr]; ok {
			c.add(l.path, l.addr, "an address that "+other+" does not use")
		}
		seen[l.addr] = l.path
	}
}

// Sparse returns the settings as indented JSON without the fields that have their
// default values.
func (s Settings) Sparse() ([]byte, error) {
	var b, out bytes.Buffer
	if err := writeSparse(&b, reflect.ValueOf(s), reflect.ValueOf(Default())); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := json.Indent(&out, b.Bytes(), "", "  "); err != nil {
		return nil, trace.Wrap(err)
	}
	out.WriteByte('\n')
	return out.Bytes(), nil
}

// writeSparse writes the fields of the struct own that differ from base, in the order
// of their declaration.
func writeSparse(b *bytes.Buffer, own, base reflect.Value) error {
	separator := byte('{')
	for i, name := range fieldNames(own.Type()) {
		f, d := own.Field(i), base.Field(i)
		if reflect.DeepEqual(f.Interface(), d.Interface()) {
			continue
		}
		b.WriteByte(separator)
		b.WriteString(strconv.Quote(name) + ":")
		separator = ','
		if f.Kind() == reflect.Struct {
			if err := writeSparse(b, f, d); err != nil {
				return err
			}
			continue
		}
		v, err := json.Marshal(f.Interface())
		if err != nil {
			return err
		}
		b.Write(v)
	}
	if separator == '{' {
		b.WriteByte(separator)
	}
	b.WriteByte('}')
	return nil
}

// resolvePaths returns s with its relative paths joined to the folder dir.
func (s Settings) resolvePaths(dir string) Settings {
	for _, p := range []*string{&s.Node.DataFolder, &s.TLS.CA, &s.TLS.Cert, &s.TLS.Key} {
		if *p != "" && !filepath.IsAbs(*p) {
			*p = filepath.Join(dir, *p)
		}
	}
	return s
}
