package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"
	"github.com/jessevdk/go-flags"
	"github.com/jonboulle/clockwork"

	"cyclamenrelay.example/client"
	"cyclamenrelay.example/keys"
)

// Exit codes.
const (
	exitDone     = 0
	exitOther    = 1
	exitUsage    = 2
	exitConflict = 3
	exitRefused  = 4 // the operation was certainly not done
	exitUnknown  = 5 // the operation may have been done
)

const indent = "  "

// attemptsPerTimeout divides --timeout into time-outs of single attempts: that many
// servers in a row may leave a request unanswered before --timeout ends.
const attemptsPerTimeout = 4

// options are the global flags.
type options struct {
	Servers  []string      `long:"server" value-name:"URL" env:"RELCTL_SERVER" env-delim:"," description:"an entry's operators' URL; repeat it for more, the next is tried when one is down"`
	CA       string        `long:"ca" value-name:"FILE" env:"RELCTL_CA" default:"tls/ca.pem" description:"the deployment's CA"`
	Cert     string        `long:"cert" value-name:"FILE" env:"RELCTL_CERT" default:"tls/operator.pem" description:"the operator's certificate"`
	Key      string        `long:"key" value-name:"FILE" env:"RELCTL_KEY" default:"tls/operator.key" description:"its private key"`
	JSON     bool          `long:"json" description:"print JSON"`
	Attempts int           `long:"attempts" value-name:"N" default:"6" description:"the maximum number of attempts at one operation, over all servers"`
	Timeout  time.Duration `long:"timeout" value-name:"TIME" default:"30s" description:"the time-out of one operation; each attempt gets a quarter of it"`
}

// app holds the global flags, the output streams and the clock that all commands use.
type app struct {
	opts        options
	out, errOut io.Writer
	clock       clockwork.Clock
}

// command is a registered command. Its path is one word, or a group and a subcommand.
type command struct {
	path, short, long string
	build             func(*app) any
}

var commands []command

// register adds a command; build returns a struct with the command's flags and an
// Execute method.
func register(path, short, long string, build func(*app) any) {
	commands = append(commands, command{path, short, long, build})
}

// groupDescriptions maps the first word of two-word commands to its description.
var groupDescriptions = map[string]string{
	"keys":       "Make and renew certificates",
	"config":     "Show the configuration's changes",
	"rules":      "Which targets take which work, and at what weight",
	"labels":     "Labels that operators lay over those of targets",
	"drains":     "Targets that take no new work",
	"teams":      "Quotas and weights of teams",
	"targets":    "Targets as an entry sees them",
	"jobs":       "Jobs of callers",
	"members":    "Keepers of the cluster",
	"completion": "Shell completion",
}

// Main runs relctl with the arguments and returns its exit code.
func Main(args []string, out, errw io.Writer, clock clockwork.Clock) int {
	a := &app{out: out, errOut: errw, clock: clock}
	p := flags.NewNamedParser("relctl", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = "Operates a deployment of cyclamenrelay. Exit codes: 0 done, 2 usage, 3 conflict, " +
		"4 refused and certainly not done, 5 unknown outcome, 1 other."
	if _, err := p.AddGroup("Global options", "", &a.opts); err != nil {
		panic(err)
	}
	for _, c := range commands {
		addCommand(p, c, a)
	}
	p.CommandHandler = func(cmd flags.Commander, rest []string) error {
		if len(rest) > 0 {
			return trace.BadParameter("unexpected arguments: %s", strings.Join(rest, " "))
		}
		return cmd.Execute(rest)
	}
	_, err := p.ParseArgs(args)
	return a.reportError(err)
}

func addCommand(p *flags.Parser, c command, a *app) {
	parent, name := p.Command, c.path
	if group, subcommand, hasGroup := strings.Cut(c.path, " "); hasGroup {
		name = subcommand
		if parent = p.Find(group); parent == nil {
			var err error
			if parent, err = p.AddCommand(group, groupDescriptions[group], groupDescriptions[group]+".", &struct{}{}); err != nil {
				panic(err)
			}
		}
	}
	if _, err := parent.AddCommand(name, c.short, c.long, c.build(a)); err != nil {
		panic(err)
	}
}

// reportError prints the error, if any, and returns the exit code for its kind.
func (a *app) reportError(err error) int {
	var usage *flags.Error
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(a.out, usage.Message)
		return exitDone
	}
	_, _ = fmt.Fprintln(a.errOut, "relctl: "+trace.UserMessage(err))
	switch {
	case usage != nil || trace.IsBadParameter(err):
		return exitUsage
	case trace.IsCompareFailed(err):
		return exitConflict
	case trace.IsAccessDenied(err) || trace.IsLimitExceeded(err):
		return exitRefused
	case trace.IsConnectionProblem(err):
		return exitUnknown
	}
	return exitOther
}

// connect returns a client of the configured servers and a context that ends after
// --timeout, for one operation.
func (a *app) connect() (*client.Client, context.Context, context.CancelFunc, error) {
	id, err := keys.LoadWithClock(a.clock, a.opts.CA, a.opts.Cert, a.opts.Key)
	if err != nil {
		return nil, nil, nil, trace.Wrap(err)
	}
	c, err := client.New(client.Options{
		Servers: a.opts.Servers, Identity: id, Attempts: a.opts.Attempts, Clock: a.clock,
		AttemptTimeout: a.opts.Timeout / attemptsPerTimeout,
		OnRetry:        func(server string, err error) { a.printNote("%s: %v; trying again", server, trace.Unwrap(err)) },
	})
	if err != nil {
		return nil, nil, nil, trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), a.opts.Timeout)
	return c, ctx, cancel, nil
}

// get reads path from the first server that answers. A failed read has no side
// effects, so it counts as refused and never as an unknown outcome.
func (a *app) get(path string, query url.Values, out any) error {
	c, ctx, cancel, err := a.connect()
	if err != nil {
		return err
	}
	defer cancel()
	err = c.Get(ctx, path, query, out)
	if trace.IsConnectionProblem(err) {
		return trace.LimitExceeded("no server answered: %v", trace.Unwrap(err))
	}
	return trace.Wrap(err)
}

// printNote prints a message for the operator on the error stream, apart from the
// command's output.
func (a *app) printNote(format string, args ...any) {
	_, _ = fmt.Fprintf(a.errOut, format+"\n", args...)
}

// print writes v as JSON with --json, otherwise as the table that text writes.
func (a *app) print(v any, text func(w io.Writer)) error {
	if a.opts.JSON {
		e := json.NewEncoder(a.out)
		e.SetIndent("", indent)
		return trace.Wrap(e.Encode(v))
	}
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	text(w)
	return trace.Wrap(w.Flush())
}

// row writes one table row with tab-separated cells.
func row(w io.Writer, cells ...any) {
	for i, c := range cells {
		if i > 0 {
			_, _ = fmt.Fprint(w, "\t")
		}
		_, _ = fmt.Fprint(w, c)
	}
	_, _ = fmt.Fprintln(w)
}
