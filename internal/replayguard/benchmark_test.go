package replayguard

import (
	"context"
	"crypto/rand"
	"errors"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"coralrelay/internal/resumetoken"
)

var errNotGranted = errors.New("not granted")

// BenchmarkSpend spends tokens at one guard from many goroutines concurrently.
func BenchmarkSpend(b *testing.B) {
	for name, options := range map[string]Options{
		"group":  {},
		"alone":  {MaxBatch: 1},
		"nosync": {NoSync: true},
		"memory": {},
	} {
		b.Run(name, func(b *testing.B) {
			options.MaxRecords = 1 << 24
			if name != "memory" {
				options.Dir = b.TempDir()
			}
			guard, _ := startGuard(b, options)
			keyRing := newTestKeyRing(b, "a")
			b.SetParallelism(64)
			b.RunParallel(func(p *testing.PB) {
				for p.Next() {
					_, token := mintTestToken(b, keyRing, guard, time.Now(), time.Hour)
					if spend(guard, token, 1) != resumetoken.Granted {
						b.Error(errNotGranted)
					}
				}
			})
		})
	}
}

// BenchmarkSpendMillion reports the file size and heap size per record after a million tokens have
// been spent.
func BenchmarkSpendMillion(b *testing.B) {
	const records = 1_000_000
	keyRing := newTestKeyRing(b, "a")
	for b.Loop() {
		guard, stop := startGuard(b, Options{Dir: b.TempDir(), MaxRecords: records})
		var wg sync.WaitGroup
		slots := make(chan struct{}, 1000)
		for range records {
			var nonce resumetoken.Nonce
			_, _ = rand.Read(nonce[:])
			_, token := mintTestToken(b, keyRing, guard, time.Now(), time.Hour)
			token.Nonce = nonce
			slots <- struct{}{}
			wg.Add(1)
			guard.Spend(token, resumetoken.RedemptionID{1}, func(verdict resumetoken.Verdict) {
				if verdict != resumetoken.Granted {
					b.Error(verdict)
				}
				<-slots
				wg.Done()
			})
		}
		wg.Wait()
		fileBytes := guard.backend.(*durableBackend).store.Size()
		var memory runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&memory)
		b.ReportMetric(float64(fileBytes)/records, "filebytes/record")
		b.ReportMetric(float64(memory.HeapInuse)/records, "heapbytes/record")
		stop()
	}
}

// BenchmarkRedeemDuringForgedRequests redeems tokens while forged ones are presented at a rate of
// 10,000 per second.
func BenchmarkRedeemDuringForgedRequests(b *testing.B) {
	config := testConfig(newTestKeyRing(b, "a"))
	config.TokenLifetime, config.ArbiterTimeout = time.Hour, time.Second
	cluster := startTestCluster(b, 2, config)
	forged := cluster.services[0].Mint("k", "g", resumetoken.Position{})
	forged = forged[:len(forged)-4] + "AAAA"
	for name, forgedPerMillisecond := range map[string]int{"without": 0, "with": 10} {
		b.Run(name, func(b *testing.B) {
			ctx, cancel := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			wg.Go(func() {
				for tick := time.NewTicker(time.Millisecond); forgedPerMillisecond > 0; <-tick.C {
					for range forgedPerMillisecond {
						if ctx.Err() != nil ||
							cluster.services[1].Redeem(ctx, presentationOf(forged)).CanResume {
							return
						}
					}
				}
			})
			var durations []time.Duration
			for b.Loop() {
				token := cluster.services[0].Mint("k", "g", resumetoken.Position{})
				startedAt := time.Now()
				if !cluster.services[1].Redeem(ctx, presentationOf(token)).CanResume {
					b.Error(errNotGranted)
				}
				durations = append(durations, time.Since(startedAt))
			}
			cancel()
			wg.Wait()
			slices.Sort(durations)
			b.ReportMetric(float64(durations[len(durations)*99/100].Microseconds()), "p99-us")
		})
	}
}
