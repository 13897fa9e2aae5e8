// Command stand runs test stand-ins for the surroundings of a deployment: targets,
// a fault-injecting network relay, a trace collector and load generators. Its
// commands lab and demo start a whole deployment on this host.
package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"

	"github.com/gravitational/trace"
	"github.com/jessevdk/go-flags"
	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

var parser = flags.NewNamedParser("stand", flags.HelpFlag|flags.PassDoubleDash)

// register adds a command; each file registers its own.
func register(name, short string, command any) {
	if _, err := parser.AddCommand(name, short, short, command); err != nil {
		panic(err)
	}
}

// untilSignal returns a context that ends at SIGTERM or SIGINT.
func untilSignal() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}

func newLogger() *zap.Logger {
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return zap.New(zapcore.NewCore(zaplogfmt.NewEncoder(cfg), zapcore.Lock(os.Stderr), zap.InfoLevel))
}

func main() {
	_, err := parser.Parse()
	var ferr *flags.Error
	switch {
	case err == nil:
	case errors.As(err, &ferr) && ferr.Type == flags.ErrHelp:
		_, _ = os.Stdout.WriteString(ferr.Message + "\n")
	default:
		_, _ = os.Stderr.WriteString("stand: " + trace.UserMessage(err) + "\n")
		os.Exit(1)
	}
}
