// Command balsamproxy-soak is a soak test with fault injection: it runs daemons
// as local processes, injects random faults and checks the guarantees that
// package soak describes.
package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"balsamproxy/platform/soak"
)

// soakOptions are the command-line flags.
type soakOptions struct {
	Seed          uint64        `long:"seed" default:"1" description:"first seed of the schedule"`
	Seeds         int           `long:"seeds" default:"1" description:"how many seeds to run, one after another"`
	FaultDuration time.Duration `long:"lasts" default:"20s" description:"how long faults begin, for each seed"`
	Daemons       int           `long:"daemons" default:"6" description:"number of daemons"`
	Callers       int           `long:"callers" default:"12" description:"number of callers"`
	RestoreStore  bool          `long:"restore-store" description:"also restore the store from old copies"`
	Hostile       bool          `long:"hostile-callers" description:"also play callers that do not end what they begin"`
	Departures    bool          `long:"departures" description:"also play targets that leave around outages and restarts, and a request that crashes targets beside a popular page"`
	MassKills     bool          `long:"mass-kills" description:"also kill all daemons around outages of the store in which targets leave"`
	Pipelines     bool          `long:"pipelines" description:"also send pipelined requests, and uploads that are answered early and in part"`
	Program       string        `long:"program" description:"the program under test; built from this module if not given"`
	Logs          string        `long:"logs" description:"directory for settings and logs; a temporary one if not given"`
}

// Exit statuses.
const (
	// exitViolations means that at least one seed violated a guarantee.
	exitViolations = 1
	// exitError covers invalid flags and a soak that could not be run.
	exitError = 2
)

func main() {
	var options soakOptions
	if _, err := flags.Parse(&options); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(exitError)
	}
	os.Exit(options.execute())
}

// execute runs all seeds, or as many as it can before SIGINT or SIGTERM, and
// returns the exit status.
func (options soakOptions) execute() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	failed, err := options.runSeeds(ctx)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return exitError
	case failed > 0:
		return exitViolations
	}
	return 0
}

// runSeeds runs all seeds and returns the number of seeds with violations.
func (options soakOptions) runSeeds(ctx context.Context) (int, error) {
	directory := options.Logs
	if directory == "" {
		temporary, err := os.MkdirTemp("", "balsamproxy-soak-")
		if err != nil {
			return 0, err
		}
		directory = temporary
	}
	program := options.Program
	if program == "" {
		program = filepath.Join(directory, "balsamproxy")
		build := exec.CommandContext(ctx, "go", "build", "-o", program, "balsamproxy/cmd/balsamproxy")
		build.Stderr = os.Stderr
		if err := build.Run(); err != nil {
			return 0, err
		}
	}
	failed := 0
	for seed := options.Seed; seed < options.Seed+uint64(options.Seeds) && ctx.Err() == nil; seed++ {
		logs := filepath.Join(directory, fmt.Sprintf("seed-%d", seed))
		if err := os.MkdirAll(logs, 0o700); err != nil {
			return failed, err
		}
		report, err := soak.Run(ctx, soak.Options{
			Program: program, Directory: logs, Seed: seed, FaultDuration: options.FaultDuration, Daemons: options.Daemons, Callers: options.Callers,
			RestoreStore: options.RestoreStore, HostileCallers: options.Hostile, Departures: options.Departures,
			MassKills: options.MassKills, Pipelines: options.Pipelines,
		})
		if err != nil {
			return failed, err
		}
		if options.printReport(seed, logs, report) {
			failed++
		}
	}
	return failed, nil
}

// printReport prints the report of one seed and returns whether it has
// violations.
func (options soakOptions) printReport(seed uint64, logs string, report soak.Report) bool {
	fmt.Printf("seed %d: %d violations, %d of %d requests served after the faults\n", seed, len(report.Violations), report.Served, report.Requests)
	if len(report.Violations) == 0 {
		return false
	}
	for _, violation := range report.Violations {
		fmt.Println("  violation:", violation)
	}
	for _, line := range report.Timeline {
		fmt.Println("  ", line)
	}
	flags := ""
	if options.RestoreStore {
		flags += " --restore-store"
	}
	if options.Hostile {
		flags += " --hostile-callers"
	}
	if options.Departures {
		flags += " --departures"
	}
	if options.MassKills {
		flags += " --mass-kills"
	}
	if options.Pipelines {
		flags += " --pipelines"
	}
	fmt.Printf("  logs: %s\n  reproduce with: go run ./cmd/balsamproxy-soak --seed %d --lasts %v --daemons %d --callers %d%s\n",
		logs, seed, options.FaultDuration, options.Daemons, options.Callers, flags)
	return true
}
