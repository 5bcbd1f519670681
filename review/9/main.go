// Command 9 shows that a request which crashes the servers that run it is passed on again
// by each daemon that has been stopped and started since.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"balsamproxy/review/harness2"
)

const (
	servers = 4
	entries = 4
	// stableWindow is the bound of the site file.
	stableWindow = 3 * time.Second
	// retriesMax is how many retries the rule allows after the third crash.
	retriesMax = 3
	// backAfter is how long a server is away after a crash.
	backAfter = 3 * time.Second
	work      = 150 * time.Millisecond
	// poison is the path of the request that crashes servers. It comes again each
	// poisonGap, poisonPerEntry times at each entry.
	poison         = "/order/poison"
	poisonGap      = 3500 * time.Millisecond
	poisonPerEntry = 3
	orderGap       = 50 * time.Millisecond
)

func main() { harness2.Main(play) }

func play(record *harness2.Record) (bool, error) {
	fleet, err := harness2.NewFleet(record)
	if err != nil {
		return false, err
	}
	defer fleet.Close()
	crowd := &crowd{fleet: fleet}
	defer crowd.exit()
	if err := start(fleet, crowd); err != nil {
		return false, err
	}
	orders := startOrders(fleet.Daemons[servers:])
	sent := 0
	sendPoison(record, fleet.Daemons[servers], &sent)
	for _, entry := range fleet.Daemons[servers:] {
		if harness2.Trouble() {
			if err := restart(record, entry); err != nil {
				return false, err
			}
		}
		sendPoison(record, entry, &sent)
	}
	answers := orders.stop()
	if err := fleet.CheckAlive(); err != nil {
		return false, err
	}
	return judge(record, crowd, answers), nil
}

// start starts the daemons, four of them beside servers and four through which the
// clients send.
func start(fleet *harness2.Fleet, crowd *crowd) error {
	for index := range servers + entries {
		service := "s1"
		if index >= servers {
			service = "s0"
		}
		daemon, err := fleet.AddDaemon(fmt.Sprintf("sidecar-%d", index), "zone-a", service, 284)
		if err != nil {
			return err
		}
		if err := daemon.Start(); err != nil {
			return err
		}
	}
	if err := fleet.WaitReady(10 * time.Second); err != nil {
		return err
	}
	for index := range servers {
		if err := crowd.add(index, 0, ""); err != nil {
			return err
		}
	}
	time.Sleep(3 * time.Second)
	return nil
}

// restart stops a daemon as planned, starts it again and waits until it is in touch.
func restart(record *harness2.Record, entry *harness2.Daemon) error {
	record.Add("SIGTERM for %s", entry.Name)
	entry.Signal(syscall.SIGTERM)
	<-entry.Exited()
	if err := entry.Start(); err != nil {
		return err
	}
	time.Sleep(stableWindow + 500*time.Millisecond)
	return nil
}

// sendPoison sends the request that crashes servers some times.
func sendPoison(record *harness2.Record, entry *harness2.Daemon, sent *int) {
	client := &http.Client{}
	for range poisonPerEntry {
		*sent++
		answer := harness2.SendBody(client, entry, http.MethodPost, poison, fmt.Sprintf("poison-%d", *sent), "", "the same body")
		record.Add("%s sent to %s: status %d", answer.ID, entry.Name, answer.Status)
		time.Sleep(poisonGap)
	}
}

// crowd is the servers, with what they ran. A server crashes when it runs the poison, and
// another incarnation follows at its address.
type crowd struct {
	fleet   *harness2.Fleet
	mutex   sync.Mutex
	running []*harness2.Server
	crashes []harness2.Run
	ran     map[string]bool
	ended   bool
}

func (crowd *crowd) add(index, incarnation int, address string) error {
	server := &harness2.Server{ID: fmt.Sprintf("i-%d-%d", index, incarnation), Service: "s1", Slots: 108, Work: work, Address: address}
	server.OnRun = func(run harness2.Run) {
		crowd.note(run)
		if run.Path != poison {
			return
		}
		server.Exit()
		time.AfterFunc(backAfter, func() {
			if err := crowd.add(index, incarnation+1, server.Address); err != nil {
				crowd.fleet.Record.Add("a server did not start again: %v", err)
			}
		})
	}
	crowd.mutex.Lock()
	defer crowd.mutex.Unlock()
	if crowd.ended {
		return nil
	}
	crowd.running = append(crowd.running, server)
	return harness2.StartServer(crowd.fleet.Daemons[index], server)
}

// note records a request that began to run.
func (crowd *crowd) note(run harness2.Run) {
	crowd.mutex.Lock()
	defer crowd.mutex.Unlock()
	if crowd.ran == nil {
		crowd.ran = map[string]bool{}
	}
	crowd.ran[run.ID] = true
	if run.Path == poison {
		crowd.crashes = append(crowd.crashes, run)
	}
}

func (crowd *crowd) exit() {
	crowd.mutex.Lock()
	defer crowd.mutex.Unlock()
	crowd.ended = true
	for _, server := range crowd.running {
		server.Exit()
	}
}

// judge reports whether the poison reached servers in more than three retries later than
// stableWindow after it had crashed the third server.
func judge(record *harness2.Record, crowd *crowd, answers []harness2.Answer) bool {
	crowd.mutex.Lock()
	defer crowd.mutex.Unlock()
	late := 0
	for index, run := range crowd.crashes {
		text := ""
		if index >= 3 && run.At.Sub(crowd.crashes[2].At) > stableWindow {
			late++
			text = ", later than stableWindow after the third"
		}
		record.Add("crash %d: %s, %v after the first%s", index+1, run.ID, run.At.Sub(crowd.crashes[0].At).Round(time.Millisecond), text)
	}
	statuses, lost := map[int]int{}, 0
	for _, answer := range answers {
		statuses[answer.Status]++
		if answer.Status != http.StatusOK && crowd.ran[answer.ID] {
			lost++
		}
	}
	record.Add("%d orders of other clients, statuses %v; %d ran and failed", len(answers), statuses, lost)
	record.Add("%d retries later than stableWindow after the third crash, allowed are %d", late, retriesMax)
	return late > retriesMax
}

// orders are the requests of other clients.
type orders struct {
	ended   chan struct{}
	sending sync.WaitGroup
	mutex   sync.Mutex
	answers []harness2.Answer
}

func startOrders(daemons []*harness2.Daemon) *orders {
	orders := &orders{ended: make(chan struct{})}
	for index, daemon := range daemons {
		orders.sending.Go(func() { orders.run(index, daemon) })
	}
	return orders
}

func (orders *orders) run(index int, daemon *harness2.Daemon) {
	connections := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	ticker := time.NewTicker(orderGap)
	defer ticker.Stop()
	for count := 0; ; count++ {
		select {
		case <-orders.ended:
			return
		case <-ticker.C:
		}
		orders.sending.Go(func() {
			id := fmt.Sprintf("o-%d-%d", index, count)
			answer := harness2.Send(connections, daemon, http.MethodPost, "/order/"+id, id)
			orders.mutex.Lock()
			defer orders.mutex.Unlock()
			orders.answers = append(orders.answers, answer)
		})
	}
}

func (orders *orders) stop() []harness2.Answer {
	close(orders.ended)
	orders.sending.Wait()
	return orders.answers
}
