package proofs_test

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"balsamproxy"
	"balsamproxy/core/settings"
	"balsamproxy/io/etcd"
	"balsamproxy/io/store"
)

const (
	// settleTime keeps the work of a daemon at start-up out of the measurement.
	settleTime = 5 * time.Second
	idlePeriod = 10 * time.Second
)

// countingListener counts the bytes read and written on all its connections.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (listener countingListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	return countingConn{Conn: conn, bytes: listener.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (conn countingConn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	conn.bytes.Add(int64(count))
	return count, err
}

func (conn countingConn) Write(buffer []byte) (int, error) {
	count, err := conn.Conn.Write(buffer)
	conn.bytes.Add(int64(count))
	return count, err
}

// BenchmarkIdle measures the resources that one daemon uses without requests while
// the store lists many hosts, and the CPU time for each change of a host record.
func BenchmarkIdle(b *testing.B) {
	for _, hosts := range []int{1, 150, 450, 900} {
		b.Run(fmt.Sprintf("hosts-%d", hosts), func(b *testing.B) { benchmarkIdle(b, hosts) })
	}
}

func benchmarkIdle(b *testing.B, hosts int) {
	fleet := newFleet(b, 1)
	client := &etcd.Client{Addresses: []string{fleet.storeAddress}}
	for index := range hosts - 1 {
		putMember(b, client, fmt.Sprintf("other-%03d", index), 0)
	}
	fleet.start()
	fleet.applyConfig(fleet.daemons[0], document(goodSecret))
	fleet.awaitLog(fleet.daemons[0], "standing changed", 1)
	<-time.After(settleTime)
	for range b.N {
		calls, bytes, cpu := fleet.storeCalls(), fleet.storeBytes.Load(), fleet.cpuTime()
		<-time.After(idlePeriod)
		seconds := idlePeriod.Seconds()
		b.ReportMetric(float64(fleet.storeCalls()-calls)/seconds, "store-calls/s")
		b.ReportMetric(float64(fleet.storeBytes.Load()-bytes)/seconds, "bytes/s")
		b.ReportMetric(100*(fleet.cpuTime()-cpu).Seconds()/seconds, "percent-of-core")
		b.ReportMetric(residentMegabytes(b, fleet.daemons[0].process.Process.Pid), "resident-MB")
	}
	if hosts > 1 {
		fleet.measureChanges(b, client)
	}
}

// measureChanges reports the CPU time that a daemon uses for one change of a host
// record.
func (fleet *fleet) measureChanges(b *testing.B, client *etcd.Client) {
	const changes = 500
	entry, err := client.Get(b.Context(), store.MemberKey(settings.DefaultStorePrefix, "other-000"))
	assert.NilError(b, err)
	cpu := fleet.cpuTime()
	for range changes {
		entry.Revision = putMember(b, client, "other-000", entry.Revision)
	}
	b.ReportMetric((fleet.cpuTime()-cpu).Seconds()*1e6/changes, "cpu-us/change")
}

func putMember(b *testing.B, client *etcd.Client, host string, expected balsamproxy.Revision) balsamproxy.Revision {
	member := balsamproxy.Member{
		Host: balsamproxy.HostID(host), DataCentre: "centre-1", PeerAddress: "127.0.0.1:1", Incarnation: "0123456789abcdef",
		Targets: []balsamproxy.Target{{
			ID: balsamproxy.TargetID(host + "-service"), Service: "service-17", Address: "127.0.0.1:2",
			Slots: 100, Connections: 750, State: balsamproxy.TargetReady,
		}},
	}
	value, err := json.Marshal(member)
	assert.NilError(b, err)
	key := store.MemberKey(settings.DefaultStorePrefix, member.Host)
	revision, err := client.Swap(b.Context(), balsamproxy.StoreSwap{Key: key, Value: value, Expected: expected})
	assert.NilError(b, err)
	return revision
}

func (fleet *fleet) storeCalls() int {
	total := 0
	for _, count := range fleet.store.Calls() {
		total += count
	}
	return total
}

func residentMegabytes(b testing.TB, pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	assert.NilError(b, err)
	for line := range strings.SplitSeq(string(data), "\n") {
		if value, found := strings.CutPrefix(line, "VmRSS:"); found {
			kilobytes, err := strconv.Atoi(strings.Fields(value)[0])
			assert.NilError(b, err)
			return float64(kilobytes) / 1024
		}
	}
	return 0
}
