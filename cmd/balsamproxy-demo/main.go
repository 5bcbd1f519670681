// Command balsamproxy-demo runs an end-to-end demonstration on loopback: a
// stand-in for the platform's store, three daemons and one target for each of
// three services that call each other, all as separate processes. It exits with
// status 0 only if every check passes.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"balsamproxy"
	"balsamproxy/internal/standin/platform"
	"balsamproxy/internal/standin/service"
)

type options struct {
	Requests int           `long:"requests" default:"600" description:"number of requests to send"`
	Timeout  time.Duration `long:"timeout" default:"60s" description:"longest time for the whole demo"`

	Store  storeCommand  `command:"store" description:"run the stand-in of the platform's store"`
	Target targetCommand `command:"target" description:"run the stand-in of one target"`
}

type storeCommand struct {
	Address string `long:"address" required:"true"`
}

type targetCommand struct {
	ID      string   `long:"id" required:"true"`
	Service string   `long:"service" required:"true"`
	Address string   `long:"address" required:"true"`
	Daemon  string   `long:"daemon" required:"true"`
	Calls   []string `long:"call"`
}

// Capacity that each stand-in target announces.
const (
	demoSlots       = 50
	demoConnections = 200
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	err := run(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "balsamproxy-demo:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context) error {
	options := options{}
	parser := flags.NewParser(&options, flags.Default)
	parser.SubcommandsOptional = true
	if _, err := parser.Parse(); err != nil {
		os.Exit(2)
	}
	if parser.Active == nil {
		ctx, cancel := context.WithTimeout(ctx, options.Timeout)
		defer cancel()
		return runDemo(ctx, options.Requests, os.Stdout)
	}
	if parser.Active.Name == "store" {
		return platform.Serve(ctx, options.Store.Address)
	}
	return options.Target.run(ctx)
}

func (command targetCommand) run(ctx context.Context) error {
	calls := make([]balsamproxy.ServiceID, 0, len(command.Calls))
	for _, name := range command.Calls {
		calls = append(calls, balsamproxy.ServiceID(name))
	}
	standin := service.New(service.Options{
		Target: balsamproxy.Target{
			ID:          balsamproxy.TargetID(command.ID),
			Service:     balsamproxy.ServiceID(command.Service),
			Address:     command.Address,
			Slots:       demoSlots,
			Connections: demoConnections,
			State:       balsamproxy.TargetReady,
		},
		Daemon: command.Daemon,
		Calls:  calls,
	})
	return standin.Run(ctx)
}
