package reducer

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// tickForBench is the simulated time between two ticks of a node.
const tickForBench = 50 * time.Millisecond

// BenchmarkCall measures all steps of an entry for one read (arrival, answer and end) in
// fleets of several sizes.
func BenchmarkCall(b *testing.B) {
	for _, size := range []int{8, 70, 580} {
		b.Run(fmt.Sprintf("members=%d", size), func(b *testing.B) {
			f := newFleet(b, size)
			load := NewLoadReport(1, 0, 6, 2_000_000, 1)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				id := CallID(i + 1)
				var attempt AttemptID
				for _, effect := range f.entry.Step(f.now, f.read(id)) {
					if send, ok := effect.(SendAttempt); ok {
						attempt = send.Attempt
					}
				}
				f.entry.Step(f.now, AttemptAnswered{Call: id, Attempt: attempt, Status: 200, Load: load})
				f.entry.Step(f.now, AnswerEnded{Call: id, Attempt: attempt, Whole: true})
				f.entry.Step(f.now, CallEnded{Call: id})
			}
		})
	}
}

// BenchmarkTick measures one tick of an entry in fleets of several sizes.
func BenchmarkTick(b *testing.B) {
	for _, size := range []int{8, 70, 580} {
		b.Run(fmt.Sprintf("members=%d", size), func(b *testing.B) {
			f := newFleet(b, size)
			b.ReportAllocs()
			for range b.N {
				f.now = f.now.Add(tickForBench)
				f.entry.Step(f.now, Tick{})
			}
		})
	}
}

// BenchmarkAnnouncement measures the processing of a new announcement of one member.
func BenchmarkAnnouncement(b *testing.B) {
	for _, size := range []int{8, 70, 580} {
		b.Run(fmt.Sprintf("members=%d", size), func(b *testing.B) {
			f := newFleet(b, size)
			b.ReportAllocs()
			for i := range b.N {
				spec := f.upstream(i % size)
				spec.Version = uint64(i/size + 1)
				f.entry.Step(f.now, ExchangeReceived{Members: []Member{NewMember(spec)}})
			}
		})
	}
}

// BenchmarkMemory measures the heap bytes per member in fleets of several sizes, and the
// heap bytes per key record with 100 records per member.
func BenchmarkMemory(b *testing.B) {
	for _, size := range []int{8, 70, 580} {
		b.Run(fmt.Sprintf("members=%d", size), func(b *testing.B) {
			for range b.N {
				before := heapBytes()
				f := newFleet(b, size)
				members := heapBytes() - before
				keys := size * 100
				for i := range keys {
					record := &keyRecord{key: fmt.Sprintf("tgl1-%016x-%x-%x", i, i, i), service: worldService, attempt: AttemptID(fmt.Sprintf("%016x.%x", 7, i))}
					f.entry.keys.add(record)
				}
				withKeys := heapBytes() - before - members
				b.ReportMetric(float64(members)/float64(size), "B/member")
				b.ReportMetric(float64(withKeys)/float64(keys), "B/key")
				runtime.KeepAlive(f)
			}
		})
	}
}

// heapBytes returns the number of bytes on the heap after a garbage collection.
func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
