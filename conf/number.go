package conf

import (
	"math"
	"strconv"

	"github.com/gravitational/trace"
)

// Number is a number that is written as a string, such as "1.5". An empty string stands for
// 0, an unset number: templates of settings render unknown fields as empty strings.
type Number float64

// MarshalText implements encoding.TextMarshaler.
func (n Number) MarshalText() ([]byte, error) {
	if n == 0 {
		return nil, nil
	}
	return strconv.AppendFloat(nil, float64(n), 'g', -1, 64), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. The error is a trace.BadParameter.
func (n *Number) UnmarshalText(b []byte) error {
	if len(b) == 0 {
		*n = 0
		return nil
	}
	v, err := strconv.ParseFloat(string(b), 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		return trace.BadParameter("%q is no number", b)
	}
	*n = Number(v)
	return nil
}
