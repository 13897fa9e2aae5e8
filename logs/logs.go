// Package logs creates the logger of a process. It writes each event as one line of
// key=value pairs (logfmt).
package logs

import (
	"io"

	"github.com/gravitational/trace"
	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New returns a logger that writes events of the level (debug, info, warn or error)
// and above to w. The error is a trace.BadParameter for an unknown level.
func New(w io.Writer, level string) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, trace.BadParameter("log level %q: allowed are debug, info, warn, error", level)
	}
	cfg := zap.NewProductionEncoderConfig()
	cfg.TimeKey, cfg.MessageKey = "time", "event"
	cfg.EncodeTime = zapcore.ISO8601TimeEncoder
	core := zapcore.NewCore(zaplogfmt.NewEncoder(cfg), zapcore.Lock(zapcore.AddSync(w)), l)
	return zap.New(core), nil
}
