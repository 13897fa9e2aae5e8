// Command stand3 runs the cases of the third review: a deployment of the project's own
// processes on loopback addresses, with stand-ins for executors, clients and operators.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitInvalid = 2
)

// maxTime bounds the time of a case.
const maxTime = 110 * time.Second

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: stand3 executor FLAGS | stand3 CASE FOLDER")
		os.Exit(exitInvalid)
	}
	cases := map[string]func(*deployment) (bool, error){
		"cancel": runCancelCase,
		"route":  runRouteCase,
		"drain":  runDrainCase,
	}
	if os.Args[1] == "executor" {
		os.Exit(runExecutor(os.Args[2:]))
	}
	f := cases[os.Args[1]]
	if f == nil || len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "unknown case or missing folder")
		os.Exit(exitInvalid)
	}
	os.Exit(runCase(f, os.Args[2]))
}

// runCase runs a case with its record in folder and returns the exit code.
func runCase(f func(*deployment) (bool, error), folder string) int {
	d, err := newDeployment(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalid
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-interrupted:
		case <-time.After(maxTime):
		}
		d.record("the case was ended")
		d.close()
		os.Exit(exitInvalid)
	}()
	broken, err := f(d)
	d.close()
	switch {
	case err != nil:
		d.record("the case could not run: %v", err)
		return exitInvalid
	case broken:
		d.record("result: the rule was broken")
		return exitBroken
	}
	d.record("result: the rule held")
	return exitHeld
}
