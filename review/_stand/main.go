// Command stand runs one case of the review: it starts a small deployment of relayd on
// loopback addresses, with stand-ins for its clients, executors, operator and platform, and
// checks one rule. It exits with 1 if the rule was broken, 0 if it held, and 2 if
// the case could not run.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
	// runLimit ends a case that takes too long.
	runLimit = 110 * time.Second
)

// env is what a case works with.
type env struct {
	ctx     context.Context
	d       *deployment
	rec     *recorder
	trouble bool
}

// caseFunc runs a case and returns the breaks of its rule.
type caseFunc func(e env) (breaks []string, err error)

var cases = map[string]struct {
	sides int
	run   caseFunc
}{
	"odd":    {11, oddHeartbeat},
	"cancel": {11, cancelElsewhere},
	"drain":  {11, drainWaiting},
	"kinds":  {11, frozenEntry},
	"reborn": {11, rebornExecutor},
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]].run == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		return exitFailed
	}
	c := cases[os.Args[1]]
	rec, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println("logs in", dir)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, runLimit)
	defer cancel()
	d, err := newDeployment(dir, c.sides, rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer d.stop()
	e := env{ctx: ctx, d: d, rec: rec, trouble: os.Getenv("TROUBLE") != "0"}
	breaks, err := c.run(e)
	if err == nil && ctx.Err() != nil {
		err = ctx.Err()
	}
	if err != nil {
		rec.event("could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitFailed
	}
	for _, b := range breaks {
		rec.event("BROKEN: %s", b)
		fmt.Println("broken:", b)
	}
	if len(breaks) > 0 {
		return exitBroken
	}
	rec.event("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
