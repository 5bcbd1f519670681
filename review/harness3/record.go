package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// sent is one request of a client.
type sent struct {
	id, tenant, daemon, route string
	at, answered              time.Time
	status                    int
	stamp                     string
	// retry is set for a second attempt, served if an attempt was answered with success.
	retry, served bool
}

// run is one request that a server began to run.
type run struct {
	id, tenant, server string
	at                 time.Time
}

// record holds what clients and servers have seen.
type record struct {
	mutex  sync.Mutex
	begin  time.Time
	sent   []sent
	runs   []run
	events []string
}

func (record *record) ran(server *server, id, tenant string, at time.Time) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	record.runs = append(record.runs, run{id: id, tenant: tenant, server: server.id, at: at})
}

func (record *record) answered(request sent) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	record.sent = append(record.sent, request)
}

// event records and prints what the script did or found.
func (record *record) event(format string, args ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	line := fmt.Sprintf("%8.3f s  %s", time.Since(record.begin).Seconds(), fmt.Sprintf(format, args...))
	record.events = append(record.events, line)
	fmt.Println(line)
}

// write writes the record to a file.
func (record *record) write(path string) error {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	writer := bufio.NewWriter(file)
	for _, event := range record.events {
		fmt.Fprintln(writer, "event", event)
	}
	since := func(at time.Time) float64 { return at.Sub(record.begin).Seconds() }
	for _, request := range record.sent {
		fmt.Fprintf(writer, "sent %.3f %s tenant %s to %s route %s answered %.3f status %d stamp %q\n", since(request.at), request.id,
			request.tenant, request.daemon, request.route, since(request.answered), request.status, request.stamp)
	}
	for _, run := range record.runs {
		fmt.Fprintf(writer, "run %.3f %s tenant %s at %s\n", since(run.at), run.id, run.tenant, run.server)
	}
	return writer.Flush()
}
