// Command balsamproxy-soak runs daemons as processes on this machine under
// random faults and checks what they promise.
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

// arguments are the flags of the command line.
type arguments struct {
	Seed    uint64        `long:"seed" default:"1" description:"first seed of the schedule"`
	Seeds   int           `long:"seeds" default:"1" description:"how many seeds to run, one after another"`
	Lasts   time.Duration `long:"lasts" default:"20s" description:"how long faults begin, for each seed"`
	Daemons int           `long:"daemons" default:"6" description:"number of daemons"`
	Callers int           `long:"callers" default:"12" description:"number of callers"`
	Program string        `long:"program" description:"the program under test; built from this module if not given"`
	Logs    string        `long:"logs" description:"directory for settings and logs; a temporary one if not given"`
}

const (
	exitFound   = 1
	exitInvalid = 2
)

func main() {
	var given arguments
	if _, err := flags.Parse(&given); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(exitInvalid)
	}
	os.Exit(given.main())
}

// main runs all seeds until a signal ends the soak, and returns the status of
// the program.
func (given arguments) main() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	failed, err := given.run(ctx)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return exitInvalid
	case failed > 0:
		return exitFound
	}
	return 0
}

// run runs all seeds and returns how many found something.
func (given arguments) run(ctx context.Context) (int, error) {
	directory := given.Logs
	if directory == "" {
		made, err := os.MkdirTemp("", "balsamproxy-soak-")
		if err != nil {
			return 0, err
		}
		directory = made
	}
	program := given.Program
	if program == "" {
		program = filepath.Join(directory, "balsamproxy")
		build := exec.CommandContext(ctx, "go", "build", "-o", program, "balsamproxy/cmd/balsamproxy")
		build.Stderr = os.Stderr
		if err := build.Run(); err != nil {
			return 0, err
		}
	}
	failed := 0
	for seed := given.Seed; seed < given.Seed+uint64(given.Seeds) && ctx.Err() == nil; seed++ {
		logs := filepath.Join(directory, fmt.Sprintf("seed-%d", seed))
		if err := os.MkdirAll(logs, 0o700); err != nil {
			return failed, err
		}
		report, err := soak.Run(ctx, soak.Options{
			Program: program, Directory: logs, Seed: seed, Lasts: given.Lasts, Daemons: given.Daemons, Callers: given.Callers,
		})
		if err != nil {
			return failed, err
		}
		if given.print(seed, logs, report) {
			failed++
		}
	}
	return failed, nil
}

// print reports one seed and says whether something was found.
func (given arguments) print(seed uint64, logs string, report soak.Report) bool {
	fmt.Printf("seed %d: %d found, %d of %d served after the faults\n", seed, len(report.Found), report.Served, report.Asked)
	if len(report.Found) == 0 {
		return false
	}
	for _, found := range report.Found {
		fmt.Println("  found:", found)
	}
	for _, line := range report.Timeline {
		fmt.Println("  ", line)
	}
	fmt.Printf("  logs: %s\n  again: go run ./cmd/balsamproxy-soak --seed %d --lasts %v --daemons %d --callers %d\n",
		logs, seed, given.Lasts, given.Daemons, given.Callers)
	return true
}
