// Command standin runs the cases of the review: it starts daemons as separate
// processes, plays clients, servers and the platform, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(fleet *fleet) (bool, error){
	"drain":    runDrain,
	"homes":    runHomes,
	"queued":   runQueued,
	"stopping": runStopping,
	"uploads":  runUploads,
}

func main() {
	os.Exit(execute(os.Args[1:]))
}

// execute runs the case that the first argument names, with its folder as the second.
func execute(arguments []string) int {
	if len(arguments) != 2 || cases[arguments[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		return exitNotRun
	}
	fleet, err := newFleet(arguments[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer fleet.end()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	type outcome struct {
		broken bool
		err    error
	}
	ended := make(chan outcome, 1)
	go func() {
		broken, err := cases[arguments[0]](fleet)
		ended <- outcome{broken, err}
	}()
	select {
	case <-interrupted:
		fleet.record.note("interrupted")
		return exitNotRun
	case result := <-ended:
		return fleet.report(result.broken, result.err)
	}
}

func (fleet *fleet) report(broken bool, err error) int {
	switch {
	case err != nil:
		fleet.record.note("the case could not run: %v", err)
		return exitNotRun
	case broken:
		fleet.record.note("result: the rule was broken")
		return exitBroken
	default:
		fleet.record.note("result: the rule held")
		return exitHeld
	}
}
