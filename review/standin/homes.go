package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"balsamproxy"
	"balsamproxy/core/allowance"
	"balsamproxy/core/homes"
)

const (
	homesMachines = 6
	// listInterval is the time between two reads of the records by one machine, and
	// listLead how long before one of them the home is cut off.
	listInterval = 8*time.Second + homesMachines*300*time.Millisecond
	listLead     = time.Second
	// firstCut and secondCut are how long a machine is partitioned from the store, and
	// cutPause is the time between.
	firstCut  = 4420 * time.Millisecond
	secondCut = 5500 * time.Millisecond
	cutPause  = 6 * time.Second
	// pressDuration is how long the account sends more than its limits allow, and
	// pressBefore the part of it before the cut.
	pressDuration = 6500 * time.Millisecond
	pressBefore   = 1500 * time.Millisecond
	// quotaRate and quotaBurst are the limits of each account.
	quotaRate  = 200
	quotaBurst = 20
	// quotaWindow is the users' bound of the same name, and quotaMax what may run
	// in it: the rate and burst, a tenth more and 20.
	quotaWindow = 5 * time.Second
	quotaMax    = (quotaRate*5+quotaBurst)*11/10 + 20
)

// tenures are the homes of the groups as the store has them.
type tenures struct {
	home   map[allowance.Group]string
	backup map[allowance.Group]string
}

func (fleet *fleet) tenures() (tenures, error) {
	read := tenures{home: map[allowance.Group]string{}, backup: map[allowance.Group]string{}}
	items, err := storedItems(fleet.store, fleet.words.ListCall, "balsamproxy/")
	for _, item := range items {
		var value struct {
			Host   string `json:"host"`
			Backup string `json:"backup"`
		}
		parts := strings.Split(item.Key, "/")
		group, invalid := strconv.Atoi(parts[len(parts)-1])
		if invalid != nil || json.Unmarshal(item.Value, &value) != nil {
			continue
		}
		switch parts[1] {
		case "homes":
			read.home[allowance.Group(group)] = value.Host
		case "floors":
			read.backup[allowance.Group(group)] = value.Backup
		}
	}
	return read, err
}

// accountPerGroup returns one account for each group.
func accountPerGroup() map[allowance.Group]account {
	accounts := map[allowance.Group]account{}
	for number := 0; len(accounts) < allowance.Groups; number++ {
		name := fmt.Sprintf("tenant-%d", number)
		group := allowance.GroupOf(balsamproxy.ClientAccountID(name))
		if _, found := accounts[group]; !found {
			accounts[group] = account{name: name, key: "key-of-" + name, rate: quotaRate, burst: quotaBurst}
		}
	}
	return accounts
}

// situation is a home with its backup, and another machine that watches the home
// because of another group.
type situation struct {
	group  allowance.Group
	home   *daemon
	backup string
	taker  *daemon
	rank   int
}

// findSituation looks for the situation in which the other machine is the next after
// the backup.
func (fleet *fleet) findSituation(now tenures) (situation, bool) {
	best, found := situation{}, false
	for group := range allowance.Group(allowance.Groups) {
		home, backup := now.home[group], now.backup[group]
		fleet.record.add("group %d: home %s, backup %q", group, home, backup)
		hosts := fleet.hostsBut(home)
		for other, host := range now.home {
			taker := homes.Backup(other, balsamproxy.HostID(home), hosts)
			if home == "" || backup == "" || host != home || string(taker) == backup {
				continue
			}
			if rank := homes.Rank(group, taker, hosts); !found || rank < best.rank {
				best, found = situation{group, fleet.daemon(home), backup, fleet.daemon(string(taker)), rank}, true
			}
		}
	}
	return best, found
}

func (fleet *fleet) hostsBut(left string) []balsamproxy.HostID {
	hosts := []balsamproxy.HostID{}
	for _, daemon := range fleet.daemons {
		if daemon.settings.Host != left {
			hosts = append(hosts, balsamproxy.HostID(daemon.settings.Host))
		}
	}
	return hosts
}

func (fleet *fleet) daemon(host string) *daemon {
	for _, daemon := range fleet.daemons {
		if daemon.settings.Host == host {
			return daemon
		}
	}
	return nil
}

var errNoSituation = errors.New("no home has a backup and another machine that watches it")

// runHomes cuts one home off from the store twice, and checks that an account does
// not exceed its limits.
func runHomes(fleet *fleet) (bool, error) {
	accounts := accountPerGroup()
	runs := &arrivals{}
	if err := fleet.startHomes(accounts, runs); err != nil {
		return false, err
	}
	now, err := fleet.tenures()
	if err != nil {
		return false, err
	}
	found, known := fleet.findSituation(now)
	if !known {
		return false, errNoSituation
	}
	if fleet.trouble {
		found.taker.awaitList(fleet.words.ListCall)
		found.home.store.awaitRenewal()
		fleet.record.note("machine %s is cut off from the store", found.home.settings.Host)
		found.home.store.refused.Store(true)
		time.Sleep(firstCut)
		found.home.store.refused.Store(false)
		fleet.record.note("machine %s reaches the store", found.home.settings.Host)
	}
	time.Sleep(cutPause)
	if now, err = fleet.tenures(); err != nil {
		return false, err
	}
	if now.home[found.group] != found.home.settings.Host || now.backup[found.group] != found.backup {
		return false, errNoSituation
	}
	fleet.record.note("account %s, home %s, its backup %s, another machine %s of rank %d",
		accounts[found.group].name, found.home.settings.Host, found.backup, found.taker.settings.Host, found.rank)
	return fleet.cutHome(found, accounts[found.group], runs)
}

// startHomes starts the machines, each with a target of the same service.
func (fleet *fleet) startHomes(accounts map[allowance.Group]account, runs *arrivals) error {
	list := []account{}
	for group := range allowance.Group(allowance.Groups) {
		list = append(list, accounts[group])
	}
	err := fleet.apply(configuration{
		version: 7, services: []string{"venues"}, accounts: list,
		routes: []route{{
			name: "browse", prefix: "/browse/", idempotent: true, timeout: 5 * time.Second, objective: 1500 * time.Millisecond,
			service: "venues", maxAttempts: 2,
		}},
	})
	if err != nil {
		return err
	}
	for number := range homesMachines {
		daemon, err := fleet.addDaemon(fmt.Sprintf("machine-%d", number+1), "zone-a", "venues")
		if err != nil {
			return err
		}
		target, err := fleet.startTarget(daemon, fmt.Sprintf("venues-%d", number+1), 64, 5*time.Millisecond)
		if err != nil {
			return err
		}
		target.onRun = runs.add
	}
	return fleet.awaitReady()
}

// cutHome sends more requests of the account than its limits allow, to its home and
// to another machine, and cuts the home off from the store meanwhile.
func (fleet *fleet) cutHome(found situation, account account, runs *arrivals) (bool, error) {
	other := fleet.daemons[0]
	for _, daemon := range fleet.daemons {
		if daemon != found.home && daemon != found.taker && daemon.settings.Host != found.backup {
			other = daemon
		}
	}
	if fleet.trouble {
		// The other machine reads the records every few seconds.
		last := found.taker.awaitList(fleet.words.ListCall)
		time.Sleep(time.Until(last.Add(listInterval - pressBefore - listLead)))
	}
	var stop atomic.Bool
	var sending sync.WaitGroup
	for _, daemon := range []*daemon{found.home, other} {
		for range 40 {
			sending.Go(func() { fleet.press(daemon, account, &stop) })
		}
	}
	time.Sleep(pressBefore)
	if fleet.trouble {
		fleet.record.note("machine %s is cut off from the store", found.home.settings.Host)
		found.home.store.refused.Store(true)
		time.AfterFunc(secondCut, func() { found.home.store.refused.Store(false) })
	}
	time.Sleep(pressDuration - pressBefore)
	stop.Store(true)
	sending.Wait()
	most, at := runs.most(account.name, quotaWindow)
	fleet.record.note("%d requests of %s ran in the %v from %.3f; allowed are %d",
		most, account.name, quotaWindow, at.Sub(fleet.record.start).Seconds(), quotaMax)
	return most > quotaMax, nil
}

// press sends six requests a second.
func (fleet *fleet) press(daemon *daemon, account account, stop *atomic.Bool) {
	caller := fleet.newCaller(daemon)
	defer caller.close()
	for !stop.Load() {
		next := time.Now().Add(160 * time.Millisecond)
		call := call{id: newRequestID(), method: http.MethodGet, key: account.key, deadline: 3 * time.Second}
		call.path = "/browse/" + call.id
		caller.send(call)
		time.Sleep(time.Until(next))
	}
}

// most returns the greatest number of runs of an account in a window, and when that
// begins.
func (arrivals *arrivals) most(account string, window time.Duration) (int, time.Time) {
	arrivals.mutex.Lock()
	defer arrivals.mutex.Unlock()
	times := []time.Time{}
	for _, run := range arrivals.runs {
		if run.account == account {
			times = append(times, run.at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	most, from, first := 0, time.Time{}, 0
	for last, at := range times {
		for at.Sub(times[first]) >= window {
			first++
		}
		if last-first+1 > most {
			most, from = last-first+1, times[first]
		}
	}
	return most, from
}

// awaitList waits until the daemon reads all its records, and returns when it did.
func (daemon *daemon) awaitList(listCall string) time.Time {
	path, _, _ := strings.Cut(listCall, "?")
	read := make(chan time.Time, 1)
	onCall := func(request *http.Request) {
		if request.URL.Path == path && strings.HasPrefix(request.URL.Query().Get("prefix"), "balsamproxy") {
			select {
			case read <- time.Now():
			default:
			}
		}
	}
	daemon.store.onCall.Store(&onCall)
	defer daemon.store.onCall.Store(nil)
	select {
	case at := <-read:
		return at
	case <-time.After(2 * listInterval):
		return time.Now()
	}
}
