package peer_test

import (
	"context"
	"io"
	"runtime"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"balsamproxy"
	"balsamproxy/io/peer"
)

// BenchmarkLink measures small calls over one link, sequential and concurrent.
func BenchmarkLink(b *testing.B) {
	b.Run("one-at-a-time", func(b *testing.B) {
		pool, _ := newPair(b, forwarderFunc(echo))
		times := hdrhistogram.New(1, int64(time.Minute), 4)
		b.ReportAllocs()
		b.ResetTimer()
		for range b.N {
			begin := time.Now()
			answer, err := pool.ForwardTo(b.Context(), "there", newCall("/", []byte("body")))
			assert.NilError(b, err)
			_, err = io.Copy(io.Discard, answer.Body)
			assert.NilError(b, err)
			assert.NilError(b, answer.Body.Close())
			assert.NilError(b, times.RecordValue(int64(time.Since(begin))))
		}
		b.ReportMetric(float64(times.ValueAtQuantile(50))/1e6, "p50-ms")
		b.ReportMetric(float64(times.ValueAtQuantile(99))/1e6, "p99-ms")
	})
	b.Run("many", func(b *testing.B) {
		pool, _ := newPair(b, forwarderFunc(echo))
		b.ReportAllocs()
		b.SetParallelism(16)
		b.ResetTimer()
		begin := time.Now()
		b.RunParallel(func(loop *testing.PB) {
			for loop.Next() {
				if err := checkEcho(b.Context(), pool, "/"); err != nil {
					b.Error(err)
				}
			}
		})
		b.ReportMetric(float64(2*b.N)/time.Since(begin).Seconds(), "messages/s")
	})
}

// BenchmarkQuestion measures small questions over one link.
func BenchmarkQuestion(b *testing.B) {
	pool, server := newPair(b, forwarderFunc(echo))
	peer.Handle(server, "held", func(_ context.Context, _ balsamproxy.HostID, asked balsamproxy.Revisions) (balsamproxy.Revisions, error) {
		return asked, nil
	})
	asked := balsamproxy.Revisions{Config: 1_000_000, Roster: 900_000, Homes: 800_000}
	b.ReportAllocs()
	b.RunParallel(func(loop *testing.PB) {
		for loop.Next() {
			_, err := peer.Ask[balsamproxy.Revisions, balsamproxy.Revisions](b.Context(), pool, "there", "held", asked)
			if err != nil {
				b.Error(err)
			}
		}
	})
}

// BenchmarkLinkMemory reports the memory of an idle link, both ends included.
func BenchmarkLinkMemory(b *testing.B) {
	const links = 200
	for range b.N {
		before := memoryInUse()
		for range links {
			pool, _ := newPair(b, forwarderFunc(echo))
			assert.NilError(b, checkEcho(b.Context(), pool, "/"))
		}
		b.ReportMetric(float64(memoryInUse()-before)/links/1024, "KB/link")
	}
}

// memoryInUse returns the bytes of heap and stacks in use.
func memoryInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}
