package conf

import (
	"time"

	"github.com/gravitational/trace"
)

// Duration is a time.Duration that is written with units, such as "500ms".
type Duration time.Duration

// String returns the duration with units.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. The error is a
// trace.BadParameter.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return trace.BadParameter("%q is no duration with units", b)
	}
	*d = Duration(v)
	return nil
}
