package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// maxTime bounds a case, before the end of the processes.
const maxTime = 110 * time.Second

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// broken is the error of a case that has seen a rule broken.
type broken struct{ text string }

func (b broken) Error() string { return b.text }

// env is what a case gets.
type env struct {
	*fleet
	jr      *journal
	trouble bool
}

var cases = map[string]func(*env) error{}

// shapes has the numbers of core, frontend and side machines of each case.
var shapes = map[string][3]int{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-cases CASE FOLDER")
		os.Exit(exitFailed)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	err = playRecorded(name, rec)
	var b broken
	switch {
	case errors.As(err, &b):
		rec.add("result: broken: %s", b.text)
		fmt.Println("broken:", b.text)
		return exitBroken
	case err != nil:
		rec.add("result: the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitFailed
	}
	rec.add("result: held")
	fmt.Println("held")
	return exitHeld
}

func playRecorded(name string, rec *record) error {
	repo, err := os.Getwd()
	if err != nil {
		return err
	}
	n := shapes[name]
	f, err := newFleet(repo, rec, n[0], n[1], n[2])
	if err != nil {
		return err
	}
	defer f.stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	ended := make(chan error, 1)
	go func() { ended <- cases[name](&env{fleet: f, jr: &journal{}, trouble: os.Getenv("TROUBLE") != "0"}) }()
	select {
	case err := <-ended:
		return err
	case <-signals:
		return errors.New("interrupted")
	case <-time.After(maxTime):
		return errors.New("it took too long")
	}
}

// begin starts all processes and executors, and waits until the deployment serves in a steady state.
func (e *env) begin(xs ...*executor) error {
	if err := e.startAll(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	for _, x := range xs {
		if err := x.start(); err != nil {
			return err
		}
	}
	if err := e.put(configuration(3)); err != nil {
		return err
	}
	if err := e.waitReady(30*time.Second, e.fronts...); err != nil {
		return err
	}
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		n := 0
		for _, x := range xs {
			x.mu.Lock()
			if x.beats > 0 {
				n++
			}
			x.mu.Unlock()
		}
		if n == len(xs) {
			break
		}
		if time.Now().After(end) {
			return errors.New("an executor's heartbeat was not acknowledged")
		}
	}
	time.Sleep(6 * time.Second)
	return nil
}
