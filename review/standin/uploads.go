package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// uploadBytes is the size of a body, an eighth of what the limits of the
	// configuration allow.
	uploadBytes = 8 << 20
	// uploadWork is how long a target works on an upload.
	uploadWork = 4 * time.Second
	// uploadInterval is the time between two uploads, and burstInterval that in the burst,
	// which has 1.7 times the usual requests.
	uploadInterval = 166 * time.Millisecond
	burstInterval  = uploadInterval * 10 / 17
	// usualDuration and burstDuration are the times before and in the burst.
	usualDuration = 6 * time.Second
	burstDuration = 10 * time.Second
	// lostMax is how many requests of kept connections may be lost.
	lostMax = 3
	// restartDelay is how long the platform takes to start a process again.
	restartDelay = 500 * time.Millisecond
)

// residentMB returns the resident memory of a process in megabytes.
func residentMB(process int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", process))
	fields := strings.Fields(string(data))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return pages * os.Getpagesize() >> 20
}

// enforceMemory kills the daemon when it exceeds its memory and starts it again, as
// the platform does.
func (daemon *daemon) enforceMemory(stop *atomic.Bool, peak *atomic.Int64) {
	for !stop.Load() {
		resident := residentMB(daemon.process.Process.Pid)
		peak.Store(max(peak.Load(), int64(resident)))
		if resident > memoryMB {
			daemon.fleet.record.note("daemon %s holds %d MB; its limit is %d MB", daemon.settings.Host, resident, memoryMB)
			daemon.signal(syscall.SIGKILL)
			<-daemon.exited
			time.Sleep(restartDelay)
			if err := daemon.restart(); err != nil {
				daemon.fleet.record.note("daemon %s could not be started again: %v", daemon.settings.Host, err)
				return
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// runUploads sends uploads, in the disruption more of them for a while, and checks
// that requests that a target works on are not lost.
func runUploads(fleet *fleet) (bool, error) {
	entry, err := fleet.addDaemon("machine-1", "zone-a", "front")
	if err != nil {
		return false, err
	}
	remote, err := fleet.addDaemon("machine-2", "zone-a", "artwork")
	if err != nil {
		return false, err
	}
	err = fleet.apply(configuration{
		version: 7, services: []string{"front", "artwork"}, accounts: []account{planner},
		routes: []route{{
			name: "upload", prefix: "/upload/", timeout: 12 * time.Second, objective: 10 * time.Second,
			service: "artwork", maxAttempts: 2,
		}},
	})
	if err != nil {
		return false, err
	}
	runs := &arrivals{}
	target, err := fleet.startTarget(remote, "artwork-1", 108, 10*time.Millisecond)
	if err != nil {
		return false, err
	}
	target.onRun = runs.add
	if err := fleet.awaitReady(); err != nil {
		return false, err
	}
	callers := fleet.keptCallers(entry, 160)
	target.work.Store(int64(uploadWork))
	var stop atomic.Bool
	var peaks [2]atomic.Int64
	var enforcing sync.WaitGroup
	for index, daemon := range []*daemon{entry, remote} {
		enforcing.Go(func() { daemon.enforceMemory(&stop, &peaks[index]) })
	}
	answers := fleet.upload(callers)
	stop.Store(true)
	enforcing.Wait()
	lost := fleet.countLost(answers, runs)
	fleet.record.note("peaks: %d MB at %s, %d MB at %s", peaks[0].Load(), entry.settings.Host, peaks[1].Load(), remote.settings.Host)
	fleet.record.note("%d of %d requests on kept connections reached the target and got no answer", lost, len(answers))
	return lost > lostMax, nil
}

// keptCallers returns callers whose connections have carried a request.
func (fleet *fleet) keptCallers(entry *daemon, count int) []*caller {
	callers := []*caller{}
	for range count {
		caller := fleet.newCaller(entry)
		call := call{id: newRequestID(), method: http.MethodPost, key: planner.key, deadline: 5 * time.Second}
		call.path = "/upload/" + call.id
		caller.send(call)
		callers = append(callers, caller)
	}
	return callers
}

// upload sends the uploads, each by a caller of its own, and returns the answers by
// request.
func (fleet *fleet) upload(callers []*caller) map[string]answer {
	body := bytes.Repeat([]byte("x"), uploadBytes)
	answers := map[string]answer{}
	var mutex sync.Mutex
	var sending sync.WaitGroup
	start := time.Now()
	bursting := false
	for _, caller := range callers {
		elapsed := time.Since(start)
		if elapsed > usualDuration+burstDuration {
			break
		}
		interval := uploadInterval
		if fleet.trouble && elapsed > usualDuration {
			if !bursting {
				fleet.record.note("many users come at once: one upload each %v", burstInterval)
			}
			bursting = true
			interval = burstInterval
		}
		sending.Go(func() {
			call := call{id: newRequestID(), method: http.MethodPost, key: planner.key, deadline: 12 * time.Second, body: bytes.NewReader(body), length: uploadBytes}
			call.path = "/upload/" + call.id
			if !caller.used {
				return
			}
			answered := caller.send(call)
			caller.close()
			mutex.Lock()
			defer mutex.Unlock()
			answers[call.id] = answered
		})
		time.Sleep(interval)
	}
	sending.Wait()
	return answers
}

// countLost returns how many requests reached a target and got no answer before
// their deadline.
func (fleet *fleet) countLost(answers map[string]answer, runs *arrivals) int {
	lost := 0
	for _, run := range runs.after("artwork-1", fleet.record.start) {
		answered, found := answers[run.request]
		if found && answered.err != nil && answered.took < 11*time.Second {
			lost++
		}
	}
	return lost
}
