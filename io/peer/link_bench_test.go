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

// BenchmarkLink carries small calls over one link, one after another and many
// at a time.
func BenchmarkLink(b *testing.B) {
	b.Run("one-at-a-time", func(b *testing.B) {
		pool, _ := newPair(b, carrierFunc(echo))
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
		pool, _ := newPair(b, carrierFunc(echo))
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

// BenchmarkQuestion asks one small question after another.
func BenchmarkQuestion(b *testing.B) {
	pool, server := newPair(b, carrierFunc(echo))
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

// BenchmarkLinkMemory reports the memory of one idle link, both ends together.
func BenchmarkLinkMemory(b *testing.B) {
	const links = 200
	for range b.N {
		before := inUse()
		for range links {
			pool, _ := newPair(b, carrierFunc(echo))
			assert.NilError(b, checkEcho(b.Context(), pool, "/"))
		}
		b.ReportMetric(float64(inUse()-before)/links/1024, "KB/link")
	}
}

// inUse returns the bytes of heap and stacks in use.
func inUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}
