// Command 6 shows that a page which many clients ask for is refused for minutes by the
// whole deployment after two servers have crashed by themselves.
package main

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"balsamproxy/review/harness2"
)

const (
	servers = 14
	// crashing is how many servers crash: a share of 0.15.
	crashing = 2
	work     = 220 * time.Millisecond
	// crashAt is when they crash, and downFor for how long they are down.
	crashAt = 5 * time.Second
	downFor = 4500 * time.Millisecond
	length  = 50 * time.Second
	// interval is the time between two requests of one kind at one entry.
	interval = 5 * time.Millisecond
	// starvedShare is the share of the rule: a kind of request must be served a quarter as
	// often as all.
	starvedShare = 0.25
	// samples is how many requests of a kind stand in the record one by one.
	samples = 20
	key     = "key-one"
	popular = "/browse/home"
)

func main() { harness2.Main(play) }

func play(record *harness2.Record) (bool, error) {
	fleet, err := harness2.NewFleet(record)
	if err != nil {
		return false, err
	}
	defer fleet.Close()
	running, err := start(fleet)
	for _, server := range running {
		defer server.Exit()
	}
	if err != nil {
		return false, err
	}
	clients := startClients(fleet.Daemons[servers:])
	begin := time.Now()
	if harness2.Trouble() {
		time.Sleep(time.Until(begin.Add(crashAt)))
		if err := crash(fleet, running[:crashing]); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(begin.Add(length)))
	answers := clients.stop()
	if err := fleet.CheckAlive(); err != nil {
		return false, err
	}
	for _, server := range running {
		record.Add("%s ran %d requests", server.ID, len(server.Runs()))
	}
	return judge(record, answers, begin), nil
}

// start starts a daemon beside each server, and two beside servers of another service,
// through which the clients send.
func start(fleet *harness2.Fleet) ([]*harness2.Server, error) {
	for index := range servers + 2 {
		service := "s1"
		if index >= servers {
			service = "s0"
		}
		daemon, err := fleet.AddDaemon(fmt.Sprintf("sidecar-%d", index), fmt.Sprintf("zone-%d", index%2), service, 284)
		if err != nil {
			return nil, err
		}
		if err := daemon.Start(); err != nil {
			return nil, err
		}
	}
	if err := fleet.WaitReady(10 * time.Second); err != nil {
		return nil, err
	}
	var running []*harness2.Server
	for index, daemon := range fleet.Daemons[:servers] {
		server := &harness2.Server{ID: fmt.Sprintf("i-%d", index), Service: "s1", Slots: 108, Work: work}
		if err := harness2.StartServer(daemon, server); err != nil {
			return running, err
		}
		running = append(running, server)
	}
	time.Sleep(3 * time.Second)
	return running, nil
}

// crash ends servers and starts them again at their addresses under other ids.
func crash(fleet *harness2.Fleet, crashed []*harness2.Server) error {
	for _, server := range crashed {
		fleet.Record.Add("%s crashes, for %v", server.ID, downFor)
		server.Exit()
	}
	time.Sleep(downFor)
	for index, server := range crashed {
		next := &harness2.Server{ID: server.ID + "-again", Service: "s1", Slots: 108, Work: work, Address: server.Address}
		if err := harness2.StartServer(fleet.Daemons[index], next); err != nil {
			return err
		}
		crashed[index] = next
		fleet.Record.Add("%s starts", next.ID)
	}
	return nil
}

// kind is a kind of request in the judgement.
type kind struct {
	sent, served int
	statuses     map[int]int
}

func (kind *kind) add(answer harness2.Answer) {
	kind.sent++
	kind.statuses[answer.Status]++
	if answer.Status == http.StatusOK {
		kind.served++
	}
}

func (kind *kind) share() float64 { return float64(kind.served) / float64(max(kind.sent, 1)) }

// judge reports whether a kind of request was served less than a quarter as often as all.
func judge(record *harness2.Record, answers map[string][]harness2.Answer, begin time.Time) bool {
	all := &kind{statuses: map[int]int{}}
	kinds := map[string]*kind{}
	for name, list := range answers {
		kinds[name] = &kind{statuses: map[int]int{}}
		perSecond := map[int]*kind{}
		for _, answer := range list {
			kinds[name].add(answer)
			all.add(answer)
			second := int(answer.Sent.Sub(begin) / (5 * time.Second))
			if perSecond[second] == nil {
				perSecond[second] = &kind{statuses: map[int]int{}}
			}
			perSecond[second].add(answer)
		}
		for _, answer := range list[:min(len(list), samples)] {
			record.Add("%s %s sent at %.3f s: status %d", name, answer.ID, answer.Sent.Sub(begin).Seconds(), answer.Status)
		}
		for _, second := range slices.Sorted(maps.Keys(perSecond)) {
			record.Add("%s sent from %3d s on: %v", name, second*5, perSecond[second].statuses)
		}
	}
	broken := false
	for name, kind := range kinds {
		record.Add("%s: %d sent, %d served (%.3f), all %.3f, statuses %v", name, kind.sent, kind.served, kind.share(), all.share(), kind.statuses)
		broken = broken || kind.share() < starvedShare*all.share()
	}
	return broken
}

// clients send two kinds of requests: a page that all of them ask for, and orders.
type clients struct {
	mutex   sync.Mutex
	answers map[string][]harness2.Answer
	ended   chan struct{}
	sending sync.WaitGroup
}

func startClients(daemons []*harness2.Daemon) *clients {
	clients := &clients{answers: map[string][]harness2.Answer{}, ended: make(chan struct{})}
	for index, daemon := range daemons {
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
		clients.sending.Go(func() {
			clients.add("browse", harness2.SendKey(connections, daemon, http.MethodGet, popular, fmt.Sprintf("b-%d-%d", index, count), key))
		})
		clients.sending.Go(func() {
			path := fmt.Sprintf("/order/%d/%d", index, count)
			clients.add("order", harness2.Send(connections, daemon, http.MethodPost, path, fmt.Sprintf("o-%d-%d", index, count)))
		})
	}
}

func (clients *clients) add(kind string, answer harness2.Answer) {
	clients.mutex.Lock()
	defer clients.mutex.Unlock()
	clients.answers[kind] = append(clients.answers[kind], answer)
}

func (clients *clients) stop() map[string][]harness2.Answer {
	close(clients.ended)
	clients.sending.Wait()
	clients.mutex.Lock()
	defer clients.mutex.Unlock()
	return clients.answers
}
