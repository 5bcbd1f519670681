package main

import (
	"errors"
	"os"
	"path/filepath"
	"time"

	"balsamproxy/platform/platformtest"
)

// fleet is a small deployment: the platform's store, daemons and targets.
type fleet struct {
	words     words
	record    *record
	program   string
	directory string
	store     *platformtest.Store
	daemons   []*daemon
	targets   []*target
	// trouble is not set if the case runs without its disruption.
	trouble bool
}

func newFleet(caseDirectory string) (*fleet, error) {
	loaded, err := loadWords()
	if err != nil {
		return nil, err
	}
	directory, err := os.MkdirTemp("", "balsamproxy-review-")
	if err != nil {
		return nil, err
	}
	record, err := newRecord(caseDirectory)
	return &fleet{
		words: loaded, record: record, program: filepath.Join("target", "balsamproxy"), directory: directory,
		store: &platformtest.Store{}, trouble: os.Getenv("TROUBLE") != "0",
	}, err
}

// apply writes a configuration as the operator does.
func (fleet *fleet) apply(configuration configuration) error {
	value, err := configuration.encode(fleet.words)
	if err != nil {
		return err
	}
	fleet.store.Put(fleet.words.ConfigKey, value)
	fleet.record.note("configuration %d is acknowledged", configuration.version)
	return nil
}

var errNotReady = errors.New("a daemon did not become ready")

// awaitReady waits until all daemons are ready, and then for the time after which
// the users' pages count a machine as in touch.
func (fleet *fleet) awaitReady() error {
	deadline := time.Now().Add(15 * time.Second)
	for _, daemon := range fleet.daemons {
		for !daemon.ready() {
			if time.Now().After(deadline) {
				return errNotReady
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(stableWindow)
	fleet.record.note("all daemons are ready and in touch")
	return nil
}

// stableWindow is the users' bound of the same name.
const stableWindow = 3 * time.Second

// end ends all processes that the case started.
func (fleet *fleet) end() {
	for _, target := range fleet.targets {
		target.exit()
	}
	for _, daemon := range fleet.daemons {
		if daemon.process != nil && daemon.running() {
			_ = daemon.process.Process.Kill()
			<-daemon.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(fleet.directory)
	}
}

var errNotAcknowledged = errors.New("a leaving was not acknowledged")
