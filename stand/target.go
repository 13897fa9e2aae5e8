package main

import (
	"net"
	"os"
	"strings"
	"time"

	"cyclamenrelay.example/fake"
	"cyclamenrelay.example/model"

	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
)

func init() {
	register("target", "Run a target and the platform of its worker", &target{})
}

type target struct {
	Agent           string        `long:"agent" description:"URL of the agent on the same host"`
	Listen          string        `long:"listen" required:"yes" description:"IP address and port to serve on"`
	Name            string        `long:"name" required:"yes" description:"name of the target"`
	DataCentre      string        `long:"data-centre" required:"yes" description:"data centre of the target"`
	Labels          []string      `long:"label" description:"label as name=value, may be repeated"`
	Slots           int           `long:"slots" default:"8" description:"tasks that run at once"`
	Conns           int           `long:"connections" default:"64" description:"connections that are open at once"`
	StartLog        string        `long:"start-log" description:"file that starts and ends are appended to"`
	Lease           time.Duration `long:"lease" default:"3s" description:"lease of the announcement"`
	RunTime         time.Duration `long:"run-time" default:"50ms" description:"run time of tasks that ask for none"`
	UsageLag        time.Duration `long:"usage-lag" default:"2s" description:"age of the reported usage"`
	Seed            uint64        `long:"seed" default:"1" description:"seed of the choice of stragglers"`
	StragglerShare  float64       `long:"straggler-share" description:"share of tasks that are stragglers"`
	StragglerFactor float64       `long:"straggler-factor" default:"10" description:"how much longer stragglers run"`
	Fail            bool          `long:"fail" description:"fail every task at once"`
	Slow            float64       `long:"slow" description:"factor on all run times"`
	Freeze          bool          `long:"freeze" description:"start frozen"`
	LeaveFirst      bool          `long:"leave-first" description:"on SIGTERM withdraw before the tasks in progress end"`
}

// Execute runs the target until SIGTERM or SIGINT.
func (c *target) Execute([]string) error {
	log := newLogger()
	labels, err := parseLabels(c.Labels)
	if err != nil {
		return err
	}
	cfg := fake.Config{
		Name: c.Name, DataCentre: c.DataCentre, Labels: labels, Agent: c.Agent,
		Slots: c.Slots, Conns: c.Conns, Lease: c.Lease, RunTime: c.RunTime, UsageLag: c.UsageLag,
		LeaveFirst: c.LeaveFirst, Seed: c.Seed, Clock: clockwork.NewRealClock(), Log: log,
		Mode: fake.Mode{
			StragglerShare: c.StragglerShare, StragglerFactor: c.StragglerFactor,
			Fail: c.Fail, Slow: c.Slow, Freeze: c.Freeze,
		},
	}
	if c.StartLog != "" {
		f, err := os.OpenFile(c.StartLog, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		defer func() { _ = f.Close() }()
		cfg.StartLog = f
	}
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return trace.Wrap(err)
	}
	cfg.URL = "http://" + l.Addr().String()
	t, err := fake.New(cfg)
	if err != nil {
		return err
	}
	ctx, stop := untilSignal()
	defer stop()
	log.Info("target is listening", zap.String("name", c.Name), zap.String("address", l.Addr().String()))
	return t.Run(ctx, l)
}

func parseLabels(texts []string) (model.Labels, error) {
	l := model.Labels{}
	for _, s := range texts {
		k, v, ok := strings.Cut(s, "=")
		if !ok || k == "" {
			return nil, trace.BadParameter("label %q does not have the form name=value", s)
		}
		l[k] = v
	}
	return l, nil
}
