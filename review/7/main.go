// Command 7 shows that a daemon which is stopped and started again sends requests to a
// server whose leaving it has acknowledged, if the store was down at that time.
package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"balsamproxy/review/harness2"
)

const (
	// drain and stableWindow are the bounds of the site file.
	drain        = 2 * time.Second
	stableWindow = 3 * time.Second
	// downFor is how long the store is down.
	downFor = 3 * time.Second
	// staysFor is how long the server goes on after its leaving was acknowledged.
	staysFor = 15 * time.Second
	work     = 150 * time.Millisecond
	interval = 25 * time.Millisecond
	// samples is how many requests stand in the record one by one.
	samples = 20
)

func main() { harness2.Main(play) }

func play(record *harness2.Record) (bool, error) {
	fleet, err := harness2.NewFleet(record)
	if err != nil {
		return false, err
	}
	defer fleet.Close()
	leaving, staying, err := start(fleet)
	if err != nil {
		return false, err
	}
	defer leaving.Exit()
	defer staying.Exit()
	clients := startClients(fleet)
	time.Sleep(2 * time.Second)

	storeWell, acknowledged, err := leave(fleet, leaving)
	if err != nil {
		return false, err
	}
	restarted, err := restart(record, fleet.Daemons[0])
	if err != nil {
		return false, err
	}
	time.Sleep(time.Until(acknowledged.Add(staysFor)))
	leaving.Exit()
	record.Add("i-leaving exits")
	time.Sleep(time.Second)
	answers := clients.stop()
	if err := fleet.CheckAlive(); err != nil {
		return false, err
	}
	record.Add("i-staying ran %d requests", len(staying.Runs()))

	bound := acknowledged.Add(drain)
	for _, other := range []time.Time{storeWell.Add(stableWindow), restarted.Add(stableWindow)} {
		if other.After(bound) {
			bound = other
		}
	}
	return judge(record, leaving, answers, bound), nil
}

// start starts four daemons, the first two of them beside the servers of the service.
func start(fleet *harness2.Fleet) (leaving, staying *harness2.Server, err error) {
	for index := range 4 {
		service := "s0"
		if index < 2 {
			service = "s1"
		}
		daemon, err := fleet.AddDaemon(fmt.Sprintf("sidecar-%d", index), "zone-a", service, 284)
		if err != nil {
			return nil, nil, err
		}
		if err := daemon.Start(); err != nil {
			return nil, nil, err
		}
	}
	if err := fleet.WaitReady(10 * time.Second); err != nil {
		return nil, nil, err
	}
	leaving = &harness2.Server{ID: "i-leaving", Service: "s1", Slots: 108, Work: work}
	staying = &harness2.Server{ID: "i-staying", Service: "s1", Slots: 108, Work: work}
	if err := harness2.StartServer(fleet.Daemons[0], leaving); err != nil {
		return nil, nil, err
	}
	if err := harness2.StartServer(fleet.Daemons[1], staying); err != nil {
		return nil, nil, err
	}
	time.Sleep(3 * time.Second)
	return leaving, staying, nil
}

// leave makes a server leave while the store is down. It returns when the store was well
// again and when the leaving was acknowledged.
func leave(fleet *harness2.Fleet, leaving *harness2.Server) (storeWell, acknowledged time.Time, err error) {
	record := fleet.Record
	if harness2.Trouble() {
		record.Add("the store answers nothing, for %v", downFor)
		fleet.SilenceStore(true)
	}
	time.Sleep(time.Second)
	status := leaving.Deregister()
	acknowledged = time.Now()
	record.Add("i-leaving deregisters: status %d", status)
	if status != http.StatusOK {
		return storeWell, acknowledged, errors.New("the leaving was not acknowledged")
	}
	time.Sleep(downFor - time.Second)
	fleet.SilenceStore(false)
	record.Add("the store is well")
	return time.Now(), acknowledged, nil
}

// restart stops a daemon as planned and starts it again.
func restart(record *harness2.Record, daemon *harness2.Daemon) (time.Time, error) {
	record.Add("SIGTERM for %s", daemon.Name)
	daemon.Signal(syscall.SIGTERM)
	<-daemon.Exited()
	record.Add("%s has ended", daemon.Name)
	err := daemon.Start()
	return time.Now(), err
}

// judge reports whether requests reached the server after the bound, from when on the
// machine that acknowledged its leaving, the others and the store are in touch.
func judge(record *harness2.Record, leaving *harness2.Server, answers []harness2.Answer, bound time.Time) bool {
	early, late := 0, 0
	for _, answer := range answers[:min(len(answers), samples)] {
		record.Add("request %s: status %d", answer.ID, answer.Status)
	}
	statuses := map[string]int{}
	for _, answer := range answers {
		statuses[fmt.Sprint(answer.Status)]++
	}
	for _, run := range leaving.Runs() {
		if run.At.Before(bound) {
			early++
			continue
		}
		late++
		if late <= 10 {
			record.Add("i-leaving ran %s %s %s, %v after the bound", run.ID, run.Method, run.Path, run.At.Sub(bound).Round(time.Millisecond))
		}
	}
	record.Add("%d requests sent, statuses %v", len(answers), statuses)
	record.Add("i-leaving ran %d requests before the bound and %d after it", early, late)
	return late > 0
}

// clients send requests through the daemons that are not restarted.
type clients struct {
	mutex   sync.Mutex
	answers []harness2.Answer
	ended   chan struct{}
	sending sync.WaitGroup
}

func startClients(fleet *harness2.Fleet) *clients {
	clients := &clients{ended: make(chan struct{})}
	for index, daemon := range fleet.Daemons[2:] {
		clients.sending.Go(func() { clients.run(index, daemon) })
	}
	return clients
}

func (clients *clients) run(index int, daemon *harness2.Daemon) {
	connections := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for count := 0; ; count++ {
		select {
		case <-clients.ended:
			return
		case <-ticker.C:
		}
		method, path := http.MethodGet, "/read/x"
		if count%3 != 0 {
			method, path = http.MethodPost, "/order/x"
		}
		clients.sending.Go(func() {
			answer := harness2.Send(connections, daemon, method, path, fmt.Sprintf("%d-%d", index, count))
			clients.mutex.Lock()
			defer clients.mutex.Unlock()
			clients.answers = append(clients.answers, answer)
		})
	}
}

func (clients *clients) stop() []harness2.Answer {
	close(clients.ended)
	clients.sending.Wait()
	clients.mutex.Lock()
	defer clients.mutex.Unlock()
	return clients.answers
}
