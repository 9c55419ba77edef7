package replayguard

import (
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"coralrelay/internal/resumetoken"
)

// After a restart a token stays granted to the same redemption only. A guard whose file was lost
// has another id and rejects all tokens that name the old id.
func TestGrantsSurviveRestart(t *testing.T) {
	dir, keyRing := t.TempDir(), newTestKeyRing(t, "a")
	guard, stop := startGuard(t, Options{Dir: dir})
	_, token := mintTestToken(t, keyRing, guard, time.Now(), time.Minute)
	_, unspent := mintTestToken(t, keyRing, guard, time.Now(), time.Minute)
	if verdict := spend(guard, token, 1); verdict != resumetoken.Granted {
		t.Fatal(verdict)
	}
	stop()
	guard, stop = startGuard(t, Options{Dir: dir})
	for id, want := range map[byte]resumetoken.Verdict{1: resumetoken.Granted, 2: resumetoken.Spent} {
		if verdict := spend(guard, token, id); verdict != want || guard.RecordCount() != 1 {
			t.Errorf("redemption %d: %v, want %v; %d records", id, verdict, want, guard.RecordCount())
		}
	}
	stop()
	if err := os.WriteFile(filepath.Join(dir, FileName), []byte("not a ledger"), 0o600); err != nil {
		t.Fatal(err)
	}
	guard, _ = startGuard(t, Options{Dir: dir})
	for _, old := range []*resumetoken.Token{token, unspent} {
		if verdict := spend(guard, old, 3); verdict != resumetoken.WrongGuard {
			t.Errorf("after the loss of the file: %v", verdict)
		}
	}
	if quarantined, _ := filepath.Glob(filepath.Join(dir, "*.foreign-*")); len(quarantined) != 1 {
		t.Errorf("quarantined files %q, want one", quarantined)
	}
}

func TestRejectsWhenFullUntilSwept(t *testing.T) {
	for name, dir := range map[string]string{"file": t.TempDir(), "memory": ""} {
		t.Run(name, func(t *testing.T) {
			keyRing, clock := newTestKeyRing(t, "a"), newTestClock()
			guard, _ := startGuard(t, Options{Dir: dir, MaxRecords: 3, Now: clock.now})
			var spent []*resumetoken.Token
			for range 3 {
				_, token := mintTestToken(t, keyRing, guard, clock.now(), 30*time.Second)
				if verdict := spend(guard, token, 1); verdict != resumetoken.Granted {
					t.Fatal(verdict)
				}
				spent = append(spent, token)
			}
			_, more := mintTestToken(t, keyRing, guard, clock.now(), time.Hour)
			if verdict := spend(guard, more, 1); verdict != resumetoken.GuardFull || guard.IsReady() {
				t.Errorf("token beyond the capacity: %v, ready %v", verdict, guard.IsReady())
			}
			if verdict := spend(guard, spent[0], 1); verdict != resumetoken.Granted {
				t.Errorf("redemption repeated while full: %v", verdict)
			}
			clock.advance(2 * time.Minute)
			guard.backend.sweep()
			for startedAt := time.Now(); guard.RecordCount() > 0; time.Sleep(time.Millisecond) {
				if time.Since(startedAt) > 10*time.Second {
					t.Fatalf("%d records were not swept within 10 s", guard.RecordCount())
				}
			}
			if verdict := spend(guard, more, 1); verdict != resumetoken.Granted {
				t.Errorf("after the sweep: %v", verdict)
			}
		})
	}
}

// A guard that can't write to its file grants nothing and is not ready.
func TestRejectsAfterWriteFailure(t *testing.T) {
	keyRing := newTestKeyRing(t, "a")
	guard, _ := startGuard(t, Options{Dir: t.TempDir()})
	_, token := mintTestToken(t, keyRing, guard, time.Now(), time.Minute)
	if err := guard.backend.(*durableBackend).store.Close(); err != nil { // makes every write fail
		t.Fatal(err)
	}
	verdict := spend(guard, token, 1)
	if verdict != resumetoken.GuardUnavailable || guard.IsReady() || guard.RecordCount() != 0 {
		t.Errorf("verdict %v, ready %v, %d records", verdict, guard.IsReady(), guard.RecordCount())
	}
}

func TestOpenReportsUnusableDirectory(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(dir, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(Options{Dir: dir, MaxRecords: 1}); err == nil || !strings.Contains(err.Error(), dir) {
		t.Errorf("opening a guard in a file instead of a directory: %v", err)
	}
}

// Over a day of spent and expired tokens the file of a guard does not grow, because the space of
// swept records is used again.
func TestFileDoesNotGrowOverDay(t *testing.T) {
	keyRing, clock := newTestKeyRing(t, "a"), newTestClock()
	guard, _ := startGuard(t, Options{Dir: t.TempDir(), NoSync: true, MaxRecords: 100_000, Now: clock.now})
	backend := guard.backend.(*durableBackend)
	const (
		step          = time.Minute
		tokensPerStep = 50
		dayMinutes    = 24 * 60
	)
	var earlySize int64
	for minute := range dayMinutes {
		var wg sync.WaitGroup
		for range tokensPerStep {
			_, token := mintTestToken(t, keyRing, guard, clock.now(), step)
			wg.Add(1)
			guard.Spend(token, resumetoken.RedemptionID{1}, func(verdict resumetoken.Verdict) {
				if verdict != resumetoken.Granted {
					t.Errorf("minute %d: %v", minute, verdict)
				}
				wg.Done()
			})
		}
		wg.Wait()
		clock.advance(step)
		backend.sweep()
		if minute == dayMinutes/10 {
			earlySize = backend.store.Size()
		}
	}
	lateSize := backend.store.Size()
	if lateSize > earlySize || guard.RecordCount() > 4*tokensPerStep {
		t.Errorf("file of %d bytes after a tenth of the day, %d at the end; %d records",
			earlySize, lateSize, guard.RecordCount())
	}
}
