// Command harness3 plays the cases of a review: it starts daemons as processes, with
// stand-ins of the platform's store, of servers and of clients, and checks one rule.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
	maxTime    = 115 * time.Second
)

// cases maps the name of a case to its script, which reports whether the rule held.
var cases = map[string]func(ctx context.Context, record *record, trouble bool) (bool, error){
	"leaving":  runLeaving,
	"burst":    runBurst,
	"pipeline": runPipeline,
}

func main() { os.Exit(play()) }

// endOnSignal ends the daemons if the script itself is ended.
func endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	<-signals
	started.killAll()
	os.Exit(exitNotRun)
}

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness3 CASE FOLDER")
		return exitNotRun
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxTime)
	defer cancel()
	go endOnSignal()
	record := &record{begin: time.Now()}
	held, err := cases[os.Args[1]](ctx, record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		record.event("the case could not run: %v", err)
	}
	if writeErr := record.write(filepath.Join(os.Args[2], "record.txt")); writeErr != nil {
		fmt.Fprintln(os.Stderr, writeErr)
		return exitNotRun
	}
	switch {
	case err != nil || ctx.Err() != nil:
		return exitNotRun
	case held:
		return exitHeld
	}
	return exitBroken
}
