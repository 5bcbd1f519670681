package main

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"balsamproxy/internal/standin/ports"
)

// daemonSettings are the settings that deploy/settings.json.template gives a
// daemon.
type daemonSettings struct {
	Host            string  `json:"host"`
	Zone            string  `json:"data-centre"`
	Service         string  `json:"service"`
	CallerAddress   string  `json:"caller-address"`
	PeerAddress     string  `json:"peer-address"`
	TargetAddress   string  `json:"target-address"`
	ReadyAddress    string  `json:"ready-address"`
	MetricsAddress  string  `json:"metrics-address"`
	StoreAddress    string  `json:"store-address"`
	FirstStart      bool    `json:"first-start"`
	WithdrawalBound string  `json:"withdrawal-bound"`
	ShutdownGrace   string  `json:"shutdown-grace"`
	RepeatRatio     float64 `json:"repeat-ratio"`
	RepeatSlack     int     `json:"repeat-slack"`
	MemoryMB        int     `json:"memory-mb"`
}

// memoryMB is the memory of a process in the users' deployments, and grace the
// time from SIGTERM until the platform kills it.
const (
	memoryMB = 284
	grace    = 6 * time.Second
)

// daemon is one machine with the program under test.
type daemon struct {
	fleet    *fleet
	settings daemonSettings
	store    *storeAccess
	process  *exec.Cmd
	exited   chan struct{}
}

func (fleet *fleet) addDaemon(name, zone, service string) (*daemon, error) {
	store, err := newStoreAccess(fleet.store, fleet.words.RenewCall)
	if err != nil {
		return nil, err
	}
	created := &daemon{fleet: fleet, store: store, settings: daemonSettings{
		Host: name, Zone: zone, Service: service, StoreAddress: store.address(), FirstStart: true, WithdrawalBound: "5000ms",
		ShutdownGrace: "6s", RepeatRatio: 0.2, RepeatSlack: 49, MemoryMB: memoryMB,
	}}
	settings := &created.settings
	for _, field := range []*string{
		&settings.CallerAddress, &settings.PeerAddress, &settings.TargetAddress, &settings.ReadyAddress, &settings.MetricsAddress,
	} {
		if *field, err = ports.Free(); err != nil {
			return nil, err
		}
	}
	fleet.daemons = append(fleet.daemons, created)
	return created, created.start()
}

// start starts the process with the command of the deploy file.
func (daemon *daemon) start() error {
	data, err := json.Marshal(daemon.settings)
	if err != nil {
		return err
	}
	file := filepath.Join(daemon.fleet.directory, daemon.settings.Host+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(daemon.fleet.directory, daemon.settings.Host+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	process := exec.Command(daemon.fleet.program, "mesh") //nolint:gosec,noctx // the program under test, ended by signals
	process.Env = append(os.Environ(), daemon.fleet.words.SettingsVariable+"="+file)
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	daemon.process, daemon.exited = process, exited
	go func() {
		_ = process.Wait()
		_ = log.Close()
		close(exited)
	}()
	daemon.fleet.record.add("started daemon %s", daemon.settings.Host)
	return nil
}

// restart starts the process again after it has ended. The platform then no
// longer says that the whole fleet starts for the first time.
func (daemon *daemon) restart() error {
	<-daemon.exited
	daemon.settings.FirstStart = false
	return daemon.start()
}

func (daemon *daemon) signal(signal syscall.Signal) {
	daemon.fleet.record.note("%v to daemon %s", signal, daemon.settings.Host)
	_ = daemon.process.Process.Signal(signal)
}

// running reports whether the process runs.
func (daemon *daemon) running() bool {
	select {
	case <-daemon.exited:
		return false
	default:
		return true
	}
}

// ready asks the daemon whether callers may send requests.
func (daemon *daemon) ready() bool {
	client := &http.Client{Timeout: time.Second}
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet,
		"http://"+daemon.settings.ReadyAddress+daemon.fleet.words.ReadyPath, http.NoBody)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
