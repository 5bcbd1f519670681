// Command 9 shows that a tenant whose row in the configuration has a rate and no burst is
// refused everything, though it stays far below its rate.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"balsamproxy/review/harness2"
)

const (
	changeAt = 5 * time.Second
	length   = 50 * time.Second
	// interval is the time between two requests of one tenant at one entry: each tenant
	// sends 10 a second through two entries, of the 50 that it may.
	interval = 200 * time.Millisecond
	// starvedShare is the share of the rule: a tenant must be served a quarter as often as
	// all.
	starvedShare = 0.25
	// withBurst and withoutBurst are the rows of the tenants before and after the change.
	withBurst    = `["t1", ["key-one"], null, 50, 50], ["t2", ["key-two"], null, 50, 50]`
	withoutBurst = `["t1", ["key-one"], null, 50, 50], ["t2", ["key-two"], null, 50, null]`
	// samples is how many requests of a tenant stand in the record one by one.
	samples = 20
)

var keys = map[string]string{"t1": "key-one", "t2": "key-two"}

func main() { harness2.Main(play) }

func play(record *harness2.Record) (bool, error) {
	fleet, err := harness2.NewFleet(record)
	if err != nil {
		return false, err
	}
	defer fleet.Close()
	fleet.PutTenants(8, withBurst)
	servers, err := start(fleet)
	for _, server := range servers {
		defer server.Exit()
	}
	if err != nil {
		return false, err
	}
	clients := startClients(fleet.Daemons[:2])
	begin := time.Now()
	time.Sleep(changeAt)
	rows := withBurst
	if harness2.Trouble() {
		rows = withoutBurst
	}
	fleet.PutTenants(9, rows)
	record.Add("the operator writes version 9, tenants %s", rows)
	time.Sleep(time.Until(begin.Add(length)))
	answers := clients.stop()
	for _, server := range servers {
		record.Add("%s ran %d requests", server.ID, len(server.Runs()))
	}
	return judge(record, answers, begin), fleet.CheckAlive()
}

// start starts four daemons, the last two of them beside servers of the service.
func start(fleet *harness2.Fleet) ([]*harness2.Server, error) {
	for index := range 4 {
		daemon, err := fleet.AddDaemon(fmt.Sprintf("sidecar-%d", index), "zone-a", fmt.Sprintf("s%d", index/2), 284)
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
	var servers []*harness2.Server
	for index, daemon := range fleet.Daemons[2:] {
		server := &harness2.Server{ID: fmt.Sprintf("i-%d", index), Service: "s1", Slots: 108, Work: 20 * time.Millisecond}
		if err := harness2.StartServer(daemon, server); err != nil {
			return servers, err
		}
		servers = append(servers, server)
	}
	// The homes of the tenants' allowance have been found after some seconds.
	time.Sleep(10 * time.Second)
	return servers, nil
}

// tally counts the requests of one tenant.
type tally struct {
	sent, served int
	statuses     map[int]int
}

func (tally *tally) add(answer harness2.Answer) {
	tally.sent++
	tally.statuses[answer.Status]++
	if answer.Status == http.StatusOK {
		tally.served++
	}
}

func (tally *tally) share() float64 { return float64(tally.served) / float64(max(tally.sent, 1)) }

// judge reports whether a tenant was served less than a quarter as often as all.
func judge(record *harness2.Record, answers map[string][]harness2.Answer, begin time.Time) bool {
	all := &tally{statuses: map[int]int{}}
	tenants := map[string]*tally{}
	for tenant, list := range answers {
		tenants[tenant] = &tally{statuses: map[int]int{}}
		after := &tally{statuses: map[int]int{}}
		for index, answer := range list {
			if index < samples {
				record.Add("%s: %s sent at %.3f s: status %d", tenant, answer.ID, answer.Sent.Sub(begin).Seconds(), answer.Status)
			}
			if answer.Sent.Sub(begin) > changeAt+2*time.Second {
				after.add(answer)
			}
			tenants[tenant].add(answer)
			all.add(answer)
		}
		record.Add("%s, sent later than configApply after the change: statuses %v", tenant, after.statuses)
	}
	broken := false
	for tenant, tally := range tenants {
		record.Add("%s: %d sent, %d served (%.3f), all %.3f, statuses %v", tenant, tally.sent, tally.served, tally.share(), all.share(), tally.statuses)
		broken = broken || tally.share() < starvedShare*all.share()
	}
	return broken
}

// clients send the requests of the tenants.
type clients struct {
	mutex   sync.Mutex
	answers map[string][]harness2.Answer
	ended   chan struct{}
	sending sync.WaitGroup
}

func startClients(daemons []*harness2.Daemon) *clients {
	clients := &clients{answers: map[string][]harness2.Answer{}, ended: make(chan struct{})}
	for index, daemon := range daemons {
		for tenant := range keys {
			clients.sending.Go(func() { clients.run(index, daemon, tenant) })
		}
	}
	return clients
}

func (clients *clients) run(index int, daemon *harness2.Daemon, tenant string) {
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
			id := fmt.Sprintf("%s-%d-%d", tenant, index, count)
			answer := harness2.SendKey(connections, daemon, http.MethodPost, "/keyed/"+id, id, keys[tenant])
			clients.mutex.Lock()
			defer clients.mutex.Unlock()
			clients.answers[tenant] = append(clients.answers[tenant], answer)
		})
	}
}

func (clients *clients) stop() map[string][]harness2.Answer {
	close(clients.ended)
	clients.sending.Wait()
	clients.mutex.Lock()
	defer clients.mutex.Unlock()
	return clients.answers
}
