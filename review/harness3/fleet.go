package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"balsamproxy/platform/platformtest"
)

// serviceName is the service of the deployment.
const serviceName = "venues"

// daemon is one process of the product, started as the deploy file says.
type daemon struct {
	name     string
	file     string
	settings map[string]any
	entrance *entrance
	log      *os.File

	mutex   sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
}

// processes are all that were started.
type processes struct {
	mutex sync.Mutex
	all   []*os.Process
}

var started processes

func (processes *processes) add(process *os.Process) {
	processes.mutex.Lock()
	defer processes.mutex.Unlock()
	processes.all = append(processes.all, process)
}

// killAll kills those that still run. It keeps the lock, so that none is started after it.
func (processes *processes) killAll() {
	processes.mutex.Lock()
	for _, process := range processes.all {
		_ = process.Kill()
	}
}

// fleet is a small deployment.
type fleet struct {
	directory string
	store     *platformtest.Store
	daemons   []*daemon
	servers   []*server
	record    *record
}

func newFleet(ctx context.Context, record *record) (*fleet, error) {
	directory, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	fleet := &fleet{directory: directory, store: &platformtest.Store{}, record: record}
	go expireLeases(ctx, fleet.store)
	return fleet, nil
}

// nextPort is the next port to try. The ports are below those that the kernel gives to
// outgoing connections, which could take a free one before the daemon listens there.
var nextPort = 15000 + os.Getpid()%1000*15

const lastPort = 32000

// freeAddress returns a loopback address with a port on which nothing listens.
func freeAddress() (string, error) {
	for nextPort < lastPort {
		nextPort++
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
		if err != nil {
			continue
		}
		return address, listener.Close()
	}
	return "", errors.New("no free port")
}

// addDaemon prepares a daemon with the settings of the deploy template.
func (fleet *fleet) addDaemon(zone string, number int) (*daemon, error) {
	entrance, err := newEntrance(fleet.store)
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("sidecar-%s-%d", zone, number)
	settings := map[string]any{
		"host": name, "data-centre": zone, "service": serviceName,
		"store-address": entrance.address, "first-start": true,
		"withdrawal-bound": "5000ms", "shutdown-grace": "6s", "repeat-ratio": 0.2, "repeat-slack": 49,
		"memory-mb": 284, "shed-by-cost": true, "placement": "free-room",
	}
	for _, field := range []string{"caller-address", "peer-address", "target-address", "ready-address", "metrics-address"} {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		settings[field] = address
	}
	created := &daemon{name: name, file: filepath.Join(fleet.directory, name+".json"), settings: settings, entrance: entrance}
	created.log, err = os.Create(filepath.Join(fleet.directory, name+".log"))
	if err != nil {
		return nil, err
	}
	fleet.daemons = append(fleet.daemons, created)
	return created, nil
}

func (daemon *daemon) address(field string) string {
	text, _ := daemon.settings[field].(string)
	return text
}

// start starts the process.
func (daemon *daemon) start() error {
	data, err := json.Marshal(daemon.settings)
	if err != nil {
		return err
	}
	if err := os.WriteFile(daemon.file, data, 0o600); err != nil {
		return err
	}
	process := exec.Command("target/balsamproxy", "mesh")
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "BALSAMPROXY_CONFIG=" + daemon.file}
	process.Stdout, process.Stderr = daemon.log, daemon.log
	if err := process.Start(); err != nil {
		return err
	}
	started.add(process.Process)
	exited := make(chan struct{})
	go func() {
		_ = process.Wait()
		close(exited)
	}()
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	daemon.process, daemon.exited = process, exited
	// The whole system starts for the first time only once.
	daemon.settings["first-start"] = false
	return nil
}

func (daemon *daemon) signal(signal syscall.Signal) {
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	if daemon.process != nil {
		_ = daemon.process.Process.Signal(signal)
	}
}

// kill ends the process at once and waits for its end.
func (daemon *daemon) kill() {
	daemon.signal(syscall.SIGKILL)
	daemon.mutex.Lock()
	exited := daemon.exited
	daemon.mutex.Unlock()
	if exited != nil {
		<-exited
	}
}

// ready reports whether the daemon answers the platform's probe with 200.
func (daemon *daemon) ready(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+daemon.address("ready-address")+"/readyz", http.NoBody)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// startAll starts all daemons and waits until they are ready.
func (fleet *fleet) startAll(ctx context.Context) error {
	for _, daemon := range fleet.daemons {
		if err := daemon.start(); err != nil {
			return err
		}
	}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, daemon := range fleet.daemons {
			if daemon.ready(ctx) {
				ready++
			}
		}
		if ready == len(fleet.daemons) {
			return nil
		}
	}
	return fmt.Errorf("not all daemons became ready")
}

// stop ends all processes of the fleet.
func (fleet *fleet) stop() {
	for _, daemon := range fleet.daemons {
		daemon.signal(syscall.SIGCONT)
		daemon.kill()
		_ = daemon.log.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(fleet.directory)
	} else {
		fmt.Println("kept", fleet.directory)
	}
}
