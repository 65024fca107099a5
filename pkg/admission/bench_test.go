package admission

import (
	"context"
	"testing"
	"time"
)

func benchmarkAcquire(b *testing.B, slots int) {
	cfg := twoKinds(slots)
	cfg.Kinds[0].Rate = 1e9
	c := New(cfg, time.Now)
	ctx, deadline := context.Background(), time.Now().Add(time.Hour)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			t, err := c.Acquire(ctx, "order", deadline)
			if err != nil {
				b.Error(err)
				return
			}
			t.Done(Outcome{ServiceTime: 10 * time.Millisecond})
		}
	})
}

// BenchmarkAcquireDone measures a free slot; run it with -cpu 1,8.
func BenchmarkAcquireDone(b *testing.B) { benchmarkAcquire(b, 64) }

// BenchmarkAcquireDoneQueued measures goroutines that wait for each other; run it with -cpu 8.
func BenchmarkAcquireDoneQueued(b *testing.B) { benchmarkAcquire(b, 2) }
