// Package units holds quantities as they are written in JSON settings.
package units

import (
	"time"

	"github.com/gravitational/trace"
)

// Duration is a time.Duration that is written as text, such as "120ms".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalText returns d as time.Duration.String does.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText parses what time.ParseDuration accepts, without a negative
// sign. The error is a trace.BadParameter.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return trace.BadParameter("duration %q: %v", b, err)
	}
	if v < 0 {
		return trace.BadParameter("duration %q is negative", b)
	}
	*d = Duration(v)
	return nil
}
