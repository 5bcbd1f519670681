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

// host is a simulated host that runs a daemon and one target.
type host struct {
	settings settings.Settings
	target   targetCommand
}

// cluster is the set of processes that the demo runs, with the settings they
// were started with.
type cluster struct {
	directory string
	store     string
	token     string
	hosts     []host
	processes []*exec.Cmd
}

// callGraph lists the services and the services that each of them calls.
var callGraph = []struct {
	service string
	calls   []string
}{
	{service: "venues", calls: []string{"lofts"}},
	{service: "bookings", calls: []string{"venues", "lofts"}},
	{service: "lofts"},
}

// startCluster builds the daemon and starts all processes. If it returns a
// cluster along with an error, the caller must stop that cluster too.
func startCluster(ctx context.Context) (*cluster, error) {
	directory, err := os.MkdirTemp("", "balsamproxy-demo-")
	if err != nil {
		return nil, err
	}
	cluster := &cluster{directory: directory, token: newSecret()}
	if err := cluster.configureHosts(); err != nil {
		return cluster, err
	}
	program := filepath.Join(directory, "balsamproxy")
	build := exec.CommandContext(ctx, "go", "build", "-o", program, "balsamproxy/cmd/balsamproxy")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		return cluster, fmt.Errorf("build the daemon: %w", err)
	}
	return cluster, cluster.startAll(program)
}

func newSecret() string {
	return config.NewSecret(randomBytes())
}

// configureHosts assigns addresses to all processes and creates the settings of
// each host.
func (cluster *cluster) configureHosts() error {
	addresses, err := freeAddresses(1 + 5*len(callGraph))
	if err != nil {
		return err
	}
	cluster.store = addresses[0]
	for index, node := range callGraph {
		hostAddresses := addresses[1+5*index:]
		name := fmt.Sprintf("host-%d", index+1)
		cluster.hosts = append(cluster.hosts, host{
			settings: settings.Settings{
				Host:                balsamproxy.HostID(name),
				DataCentre:          balsamproxy.DataCentreID(fmt.Sprintf("centre-%d", index+1)),
				CallerAddress:       hostAddresses[0],
				PeerAddress:         hostAddresses[1],
				TargetAddress:       hostAddresses[2],
				OperatorAddress:     hostAddresses[3],
				StoreAddresses:      []string{"http://" + cluster.store},
				StorePrefix:         settings.DefaultStorePrefix,
				OperatorTokenDigest: config.FormatDigest(cluster.token),
				AllowPlain:          true,
				ShutdownGraceMS:     settings.DefaultShutdownGraceMS,
				LogLevel:            "warn",
			},
			target: targetCommand{
				ID: name + "-" + node.service, Service: node.service,
				Address: hostAddresses[4], Daemon: hostAddresses[2], Calls: node.calls,
			},
		})
	}
	return nil
}

// freeAddresses returns loopback addresses that were free when checked. Another
// process may bind them before the demo does.
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

func (cluster *cluster) startAll(program string) error {
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	if err := cluster.start(executable, "store", "--address", cluster.store); err != nil {
		return err
	}
	for _, host := range cluster.hosts {
		data, err := json.Marshal(host.settings)
		if err != nil {
			return err
		}
		file := filepath.Join(cluster.directory, string(host.settings.Host)+".json")
		if err := os.WriteFile(file, data, 0o600); err != nil {
			return err
		}
		if err := cluster.start(program, "daemon", "--settings", file); err != nil {
			return err
		}
		if err := cluster.start(executable, host.target.arguments()...); err != nil {
			return err
		}
	}
	return nil
}

// arguments returns the command line that starts the target.
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

func (cluster *cluster) start(program string, arguments ...string) error {
	process := exec.Command(program, arguments...)
	process.Stderr = os.Stderr
	if err := process.Start(); err != nil {
		return err
	}
	cluster.processes = append(cluster.processes, process)
	return nil
}

// stopTimeout is how long a process may take to exit before it is killed.
const stopTimeout = 10 * time.Second

// stop terminates all processes and removes their directory. Daemons and targets
// shut down in parallel, because each takes several seconds. The store is
// stopped last, because the daemons use it while they shut down.
func (cluster *cluster) stop() {
	for _, process := range cluster.processes[min(1, len(cluster.processes)):] {
		_ = process.Process.Signal(syscall.SIGTERM)
	}
	for index := len(cluster.processes) - 1; index >= 0; index-- {
		process := cluster.processes[index]
		_ = process.Process.Signal(syscall.SIGTERM)
		timer := time.AfterFunc(stopTimeout, func() { _ = process.Process.Kill() })
		_ = process.Wait()
		timer.Stop()
	}
	_ = os.RemoveAll(cluster.directory)
}
