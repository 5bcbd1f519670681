// Package harness2 starts a small deployment for the cases of the review: the store's
// stand-in, daemons as processes of their own, and stand-ins for servers and clients.
package harness2

import (
	"context"
	_ "embed" // for the words of the platform
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"balsamproxy/internal/standin/ports"
	"balsamproxy/platform/platformtest"
)

// Exit statuses of a case.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

//go:embed wire.json
var wireJSON []byte

//go:embed config.json
var configTemplate string

// Words are the platform's words, which only files outside the Go sources contain.
var Words = loadWords()

func loadWords() map[string]string {
	words := map[string]string{}
	if err := json.Unmarshal(wireJSON, &words); err != nil {
		panic(err)
	}
	return words
}

// Trouble reports whether the case is played with its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Fleet is a small deployment on loopback addresses.
type Fleet struct {
	Store   *platformtest.Store
	Record  *Record
	Daemons []*Daemon

	directory string
	server    *http.Server
	address   string
	// delay is added to each call to the store, and silent makes it answer none.
	delay  atomic.Int64
	silent atomic.Bool
}

// NewFleet starts the store and writes the first configuration.
func NewFleet(record *Record) (*Fleet, error) {
	directory, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	store := &platformtest.Store{}
	fleet := &Fleet{Store: store, Record: record, directory: directory, address: listener.Addr().String()}
	fleet.server = &http.Server{Handler: http.HandlerFunc(fleet.serveStore), ReadHeaderTimeout: time.Second}
	go func() { _ = fleet.server.Serve(listener) }()
	fleet.PutConfig(7)
	running.add(fleet)
	return fleet, nil
}

// serveStore passes a call on to the store unless that is slow or silent.
func (fleet *Fleet) serveStore(writer http.ResponseWriter, request *http.Request) {
	if fleet.silent.Load() {
		_, _ = io.Copy(io.Discard, request.Body)
		<-request.Context().Done()
		return
	}
	time.Sleep(time.Duration(fleet.delay.Load()))
	fleet.Store.ServeHTTP(writer, request)
}

// SlowStore makes each call to the store take some time longer.
func (fleet *Fleet) SlowStore(delay time.Duration) { fleet.delay.Store(int64(delay)) }

// SilenceStore makes the store answer no call, or answer again.
func (fleet *Fleet) SilenceStore(silent bool) { fleet.silent.Store(silent) }

// PutConfig writes a version of the configuration, as the operator does.
func (fleet *Fleet) PutConfig(version int) { fleet.PutKeys(version, "key-one") }

// PutKeys writes a version of the configuration in which the tenant has these keys.
func (fleet *Fleet) PutKeys(version int, keys ...string) {
	fleet.PutTenants(version, `["t1", ["`+strings.Join(keys, `", "`)+`"], null, 0, 0]`)
}

// PutTenants writes a version of the configuration with these rows of tenants.
func (fleet *Fleet) PutTenants(version int, rows string) {
	text := fmt.Sprintf(configTemplate, version, rows)
	fleet.Store.Put(Words["config-key"], base64.StdEncoding.EncodeToString([]byte(text)))
}

// Close ends all processes and removes the files of the fleet.
func (fleet *Fleet) Close() {
	for _, daemon := range fleet.Daemons {
		daemon.Kill()
	}
	_ = fleet.server.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(fleet.directory)
	}
}

// Daemon is a daemon process.
type Daemon struct {
	Name string
	// Callers, Peers, Targets and Ready are its listeners.
	Callers, Peers, Targets, Ready string

	fleet   *Fleet
	file    string
	mutex   sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
}

// AddDaemon writes the settings of a daemon beside a server of a service. It does not
// start it.
func (fleet *Fleet) AddDaemon(name, zone, service string, memoryMB int) (*Daemon, error) {
	var addresses [4]string
	for index := range addresses {
		address, err := ports.Free()
		if err != nil {
			return nil, err
		}
		addresses[index] = address
	}
	daemon := &Daemon{
		Name: name, Callers: addresses[0], Peers: addresses[1], Targets: addresses[2], Ready: addresses[3],
		fleet: fleet, file: filepath.Join(fleet.directory, name+".json"),
	}
	settings, err := json.Marshal(map[string]any{
		"host": name, "data-centre": zone, "service": service,
		"caller-address": daemon.Callers, "peer-address": daemon.Peers, "target-address": daemon.Targets, "ready-address": daemon.Ready,
		"store-address": fleet.address, "first-start": false, "withdrawal-bound": "5000ms", "shutdown-grace": "6s",
		"repeat-ratio": 0.2, "repeat-slack": 49, "memory-mb": memoryMB, "shed-by-cost": true, "placement": "free-room",
	})
	if err != nil {
		return nil, err
	}
	fleet.Daemons = append(fleet.Daemons, daemon)
	return daemon, os.WriteFile(daemon.file, settings, 0o600)
}

// Start starts the process, as the deploy file does. Like on the platform, it sees one
// core.
func (daemon *Daemon) Start() error {
	log, err := os.OpenFile(filepath.Join(daemon.fleet.directory, daemon.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	process := exec.Command("target/balsamproxy", "mesh") //nolint:gosec,noctx // ended by signals
	process.Env = []string{"BALSAMPROXY_CONFIG=" + daemon.file, "GOMAXPROCS=1", "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = process.Wait()
		_ = log.Close()
		close(exited)
	}()
	daemon.mutex.Lock()
	daemon.process, daemon.exited = process, exited
	daemon.mutex.Unlock()
	daemon.fleet.Record.Add("daemon %s started, process %d", daemon.Name, process.Process.Pid)
	return nil
}

// Signal sends a signal to the process.
func (daemon *Daemon) Signal(signal syscall.Signal) {
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	if daemon.process != nil {
		_ = daemon.process.Process.Signal(signal)
	}
}

// Kill ends the process at once and waits for its end.
func (daemon *Daemon) Kill() {
	daemon.Signal(syscall.SIGCONT)
	daemon.Signal(syscall.SIGKILL)
	daemon.mutex.Lock()
	exited := daemon.exited
	daemon.mutex.Unlock()
	if exited != nil {
		<-exited
	}
}

// Exited returns a channel that is closed when the process has ended.
func (daemon *Daemon) Exited() <-chan struct{} {
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	return daemon.exited
}

// PID returns the id of the process.
func (daemon *Daemon) PID() int {
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	return daemon.process.Process.Pid
}

// IsReady asks the daemon as the platform does.
func (daemon *Daemon) IsReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + daemon.Ready + "/readyz") //nolint:noctx // bounded by the timeout
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// WaitReady waits until all daemons are ready.
func (fleet *Fleet) WaitReady(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for _, daemon := range fleet.Daemons {
		for !daemon.IsReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("daemon %s is not ready", daemon.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// CheckAlive returns an error if a daemon has ended.
func (fleet *Fleet) CheckAlive() error {
	for _, daemon := range fleet.Daemons {
		select {
		case <-daemon.Exited():
			return fmt.Errorf("daemon %s has ended", daemon.Name)
		default:
		}
	}
	return nil
}

// fleets are the fleets that have to be closed when the case is interrupted.
type fleets struct {
	mutex sync.Mutex
	open  []*Fleet
}

var running fleets

func (fleets *fleets) add(fleet *Fleet) {
	fleets.mutex.Lock()
	defer fleets.mutex.Unlock()
	fleets.open = append(fleets.open, fleet)
}

func (fleets *fleets) close() {
	fleets.mutex.Lock()
	defer fleets.mutex.Unlock()
	for _, fleet := range fleets.open {
		fleet.Close()
	}
}

// lengthMax is less than the 120 seconds that a case may take.
const lengthMax = 115 * time.Second

// endEarly ends all processes and exits if the case is interrupted or takes too long.
func endEarly() {
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case <-interrupted:
	case <-time.After(lengthMax):
	}
	running.close()
	os.Exit(ExitNotRun)
}

// Record is the record of a case. It is written to record.txt.
type Record struct {
	mutex sync.Mutex
	start time.Time
	lines []string
}

// NewRecord returns an empty record.
func NewRecord() *Record { return &Record{start: time.Now()} }

// Add adds a line with the time since the start.
func (record *Record) Add(format string, arguments ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	record.lines = append(record.lines, fmt.Sprintf("%8.3f ", time.Since(record.start).Seconds())+fmt.Sprintf(format, arguments...))
}

// Write writes the record to a file.
func (record *Record) Write(file string) error {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	return os.WriteFile(file, []byte(strings.Join(record.lines, "\n")+"\n"), 0o600)
}

// Main runs a case and exits with its status. The folder of the case is the only
// argument.
func Main(play func(record *Record) (broken bool, err error)) {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: CASE FOLDER")
		os.Exit(ExitNotRun)
	}
	go endEarly()
	record := NewRecord()
	broken, err := play(record)
	status := ExitHeld
	switch {
	case err != nil:
		record.Add("the case could not run: %v", err)
		status = ExitNotRun
	case broken:
		record.Add("the rule was broken")
		status = ExitBroken
	default:
		record.Add("the rule held")
	}
	if err := record.Write(filepath.Join(os.Args[1], "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		status = ExitNotRun
	}
	os.Exit(status)
}

// File returns the path of the settings file.
func (daemon *Daemon) File() string { return daemon.file }
