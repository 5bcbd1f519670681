package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"balsamproxy"
	"balsamproxy/core/config"
	"balsamproxy/core/settings"
	"balsamproxy/internal/standin/ports"
)

// host is one host of the demo: a daemon with one target.
type host struct {
	settings settings.Settings
	target   targetCommand
}

// demoFleet is everything that the demo started.
type demoFleet struct {
	directory string
	store     string
	token     string
	hosts     []host
	processes []*exec.Cmd
}

var graph = []struct {
	service string
	calls   []string
}{
	{service: "venues", calls: []string{"lofts"}},
	{service: "bookings", calls: []string{"venues", "lofts"}},
	{service: "lofts"},
}

// startFleet builds the daemon and starts all processes.
func startFleet(ctx context.Context) (*demoFleet, error) {
	directory, err := os.MkdirTemp("", "balsamproxy-demo-")
	if err != nil {
		return nil, err
	}
	fleet := &demoFleet{directory: directory, token: newSecret()}
	if err := fleet.plan(); err != nil {
		return fleet, err
	}
	program := filepath.Join(directory, "balsamproxy")
	build := exec.CommandContext(ctx, "go", "build", "-o", program, "balsamproxy/cmd/balsamproxy")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		return fleet, fmt.Errorf("building the daemon: %w", err)
	}
	return fleet, fleet.startAll(program)
}

func newSecret() string {
	return config.NewSecret(randomBytes())
}

// plan chooses the addresses of all processes.
func (fleet *demoFleet) plan() error {
	addresses, err := freeAddresses(1 + 5*len(graph))
	if err != nil {
		return err
	}
	fleet.store = addresses[0]
	for index, node := range graph {
		own := addresses[1+5*index:]
		name := fmt.Sprintf("host-%d", index+1)
		fleet.hosts = append(fleet.hosts, host{
			settings: settings.Settings{
				Host:                balsamproxy.HostID(name),
				DataCentre:          balsamproxy.DataCentreID(fmt.Sprintf("centre-%d", index+1)),
				CallerAddress:       own[0],
				PeerAddress:         own[1],
				TargetAddress:       own[2],
				OperatorAddress:     own[3],
				StoreAddresses:      []string{"http://" + fleet.store},
				StorePrefix:         settings.DefaultStorePrefix,
				OperatorTokenDigest: config.FormatDigest(fleet.token),
				AllowPlain:          true,
				ShutdownGraceMS:     settings.DefaultShutdownGraceMS,
				LogLevel:            "warn",
			},
			target: targetCommand{
				ID: name + "-" + node.service, Service: node.service,
				Address: own[4], Daemon: own[2], Calls: node.calls,
			},
		})
	}
	return nil
}

// freeAddresses returns loopback addresses that were free a moment ago.
func freeAddresses(count int) ([]string, error) {
	addresses := make([]string, 0, count)
	for range count {
		address, err := ports.Free()
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}

func (fleet *demoFleet) startAll(program string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	if err := fleet.start(self, "store", "--address", fleet.store); err != nil {
		return err
	}
	for _, host := range fleet.hosts {
		data, err := json.Marshal(host.settings)
		if err != nil {
			return err
		}
		file := filepath.Join(fleet.directory, string(host.settings.Host)+".json")
		if err := os.WriteFile(file, data, 0o600); err != nil {
			return err
		}
		if err := fleet.start(program, "daemon", "--settings", file); err != nil {
			return err
		}
		if err := fleet.start(self, host.target.arguments()...); err != nil {
			return err
		}
	}
	return nil
}

func (command targetCommand) arguments() []string {
	arguments := []string{
		"target", "--id", command.ID, "--service", command.Service,
		"--address", command.Address, "--daemon", command.Daemon,
	}
	for _, call := range command.Calls {
		arguments = append(arguments, "--call", call)
	}
	return arguments
}

func (fleet *demoFleet) start(program string, arguments ...string) error {
	process := exec.Command(program, arguments...)
	process.Stderr = os.Stderr
	if err := process.Start(); err != nil {
		return err
	}
	fleet.processes = append(fleet.processes, process)
	return nil
}

const stopTimeout = 10 * time.Second

// stop ends all processes in the reverse order of their start, so that each
// daemon finds the store while it shuts down. Daemons and targets end
// together, since each shutdown takes some seconds.
func (fleet *demoFleet) stop() {
	for _, process := range fleet.processes[min(1, len(fleet.processes)):] {
		_ = process.Process.Signal(syscall.SIGTERM)
	}
	for index := len(fleet.processes) - 1; index >= 0; index-- {
		process := fleet.processes[index]
		_ = process.Process.Signal(syscall.SIGTERM)
		timer := time.AfterFunc(stopTimeout, func() { _ = process.Process.Kill() })
		_ = process.Wait()
		timer.Stop()
	}
	_ = os.RemoveAll(fleet.directory)
}
