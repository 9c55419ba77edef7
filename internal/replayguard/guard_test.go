package replayguard

import (
	"bufio"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"coralrelay/internal/resumetoken"
)

func newTestKeyRing(t testing.TB, secrets ...string) *resumetoken.KeyRing {
	var keys []*resumetoken.Key
	for i, s := range secrets {
		k, err := resumetoken.NewKey(resumetoken.KeyID(i+1), time.Unix(int64(i), 0), []byte(strings.Repeat(s, resumetoken.SecretSize)))
		if err != nil {
			t.Fatal(err)
		}
		keys = append(keys, k)
	}
	keyRing, err := resumetoken.NewKeyRing(keys...)
	if err != nil {
		t.Fatal(err)
	}
	return keyRing
}

func startGuard(t testing.TB, options Options) (*Guard, context.CancelFunc) {
	if options.MaxRecords == 0 {
		options.MaxRecords = 1000
	}
	guard, err := Open(options)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { guard.Run(ctx); close(done) }()
	stop := func() { cancel(); <-done }
	t.Cleanup(stop)
	return guard, stop
}

var tokensMinted atomic.Uint64

// token returns a token that a ledger arbitrates.
func mintTestToken(t testing.TB, keyRing *resumetoken.KeyRing, guard *Guard, issued time.Time, life time.Duration) (string, *resumetoken.Token) {
	number := tokensMinted.Add(1)
	text, err := resumetoken.Mint(keyRing, issued, resumetoken.Claims{Issuer: "n0", Arbiter: "n0", GuardID: guard.ID, FlowKey: "k", Group: "g",
		Position: resumetoken.Position{Epoch: 1, Offset: number}, Lifetime: life, Nonce: resumetoken.Nonce{byte(number), byte(number >> 8), byte(number >> 16), byte(number >> 24)}})
	if err != nil {
		t.Fatal(err)
	}
	token, err := resumetoken.Open(keyRing, text)
	if err != nil {
		t.Fatal(err)
	}
	return text, &token
}

func spend(guard *Guard, token *resumetoken.Token, firstByte byte) resumetoken.Verdict {
	return spendWithID(guard, token, resumetoken.RedemptionID{firstByte})
}

func spendWithID(guard *Guard, token *resumetoken.Token, id resumetoken.RedemptionID) resumetoken.Verdict {
	reply := make(chan resumetoken.Verdict, 1)
	guard.Spend(token, id, func(v resumetoken.Verdict) { reply <- v })
	return <-reply
}

// What was granted stays granted to that claimant alone, over a restart; a ledger
// whose file is lost is another, and honours nothing that names the old one.
func TestGrantsSurviveRestart(t *testing.T) {
	dir, keyRing := t.TempDir(), newTestKeyRing(t, "a")
	guard, stop := startGuard(t, Options{Dir: dir})
	_, token := mintTestToken(t, keyRing, guard, time.Now(), time.Minute)
	_, unspent := mintTestToken(t, keyRing, guard, time.Now(), time.Minute)
	if v := spend(guard, token, 1); v != resumetoken.Granted {
		t.Fatal(v)
	}
	stop()
	guard, stop = startGuard(t, Options{Dir: dir})
	for redemptionID, want := range map[byte]resumetoken.Verdict{1: resumetoken.Granted, 2: resumetoken.Spent} {
		if v := spend(guard, token, redemptionID); v != want || guard.RecordCount() != 1 {
			t.Errorf("claimant %d: %v, want %v; %d kept", redemptionID, v, want, guard.RecordCount())
		}
	}
	stop()
	if err := os.WriteFile(filepath.Join(dir, FileName), []byte("not a ledger"), 0o600); err != nil {
		t.Fatal(err)
	}
	guard, _ = startGuard(t, Options{Dir: dir})
	for _, old := range []*resumetoken.Token{token, unspent} {
		if v := spend(guard, old, 3); v != resumetoken.WrongGuard {
			t.Errorf("after its file was lost: %v", v)
		}
	}
	if quarantined, _ := filepath.Glob(filepath.Join(dir, "*.foreign-*")); len(quarantined) != 1 {
		t.Errorf("set aside: %q", quarantined)
	}
}

func TestRejectsWhenFullUntilSwept(t *testing.T) {
	for name, dir := range map[string]string{"file": t.TempDir(), "memory": ""} {
		t.Run(name, func(t *testing.T) {
			keyRing := newTestKeyRing(t, "a")
			var clock atomic.Int64
			clock.Store(time.Now().UnixNano())
			now := func() time.Time { return time.Unix(0, clock.Load()) }
			guard, _ := startGuard(t, Options{Dir: dir, MaxRecords: 3, Now: now})
			var spent []*resumetoken.Token
			for range 3 {
				_, token := mintTestToken(t, keyRing, guard, now(), 30*time.Second)
				if v := spend(guard, token, 1); v != resumetoken.Granted {
					t.Fatal(v)
				}
				spent = append(spent, token)
			}
			_, more := mintTestToken(t, keyRing, guard, now(), time.Hour)
			if v := spend(guard, more, 1); v != resumetoken.GuardFull || guard.IsReady() {
				t.Errorf("one more: %v, ready %v", v, guard.IsReady())
			}
			if v := spend(guard, spent[0], 1); v != resumetoken.Granted {
				t.Errorf("asked again while full: %v", v)
			}
			clock.Add(int64(2 * time.Minute))
			guard.backend.sweep()
			for startedAt := time.Now(); guard.RecordCount() > 0; time.Sleep(time.Millisecond) {
				if time.Since(startedAt) > 10*time.Second {
					t.Fatalf("%d records were not forgotten", guard.RecordCount())
				}
			}
			if v := spend(guard, more, 1); v != resumetoken.Granted {
				t.Errorf("with room again: %v", v)
			}
		})
	}
}

// A ledger that can't write honours nothing, says so, and mints elsewhere.
func TestRejectsAfterWriteFailure(t *testing.T) {
	keyRing := newTestKeyRing(t, "a")
	guard, _ := startGuard(t, Options{Dir: t.TempDir()})
	_, token := mintTestToken(t, keyRing, guard, time.Now(), time.Minute)
	if err := guard.backend.(*durableBackend).store.Close(); err != nil { // the disk is gone
		t.Fatal(err)
	}
	if v := spend(guard, token, 1); v != resumetoken.GuardUnavailable || guard.IsReady() || guard.RecordCount() != 0 {
		t.Errorf("%v, ready %v, kept %d", v, guard.IsReady(), guard.RecordCount())
	}
}

func TestOpenReportsUnusableDirectory(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(dir, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(Options{Dir: dir, MaxRecords: 1}); err == nil || !strings.Contains(err.Error(), dir) {
		t.Errorf("a folder that can't be made: %v", err)
	}
}

// installation is some nodes that may talk.
type testCluster struct {
	services []*Service
	guards   []*Guard
	stops    []func()
	addrs    []string
}

func startTestCluster(t testing.TB, n int, terms ServiceConfig) *testCluster {
	cluster := &testCluster{}
	peers := map[string]string{}
	var listeners []net.Listener
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, l)
		cluster.addrs = append(cluster.addrs, l.Addr().String())
		peers[fmt.Sprintf("n%d", i)] = l.Addr().String()
	}
	for i, listener := range listeners {
		name := fmt.Sprintf("n%d", i)
		l, _ := startGuard(t, Options{Dir: t.TempDir(), MaxRecords: 1 << 20})
		s := NewService(name, l, terms, peers)
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		wg.Go(func() { _ = (&Server{Name: name, Guard: l, KeyRing: s.KeyRing}).Serve(ctx, listener) })
		wg.Go(func() { s.Run(ctx) })
		stop := func() { cancel(); wg.Wait() }
		t.Cleanup(stop)
		cluster.services, cluster.guards, cluster.stops = append(cluster.services, s), append(cluster.guards, l), append(cluster.stops, stop)
	}
	cluster.waitUntilReady(t, n-1)
	return cluster
}

// ready waits until every node's peers have said how they are.
func (cluster *testCluster) waitUntilReady(t testing.TB, peers int) {
	for startedAt := time.Now(); ; time.Sleep(time.Millisecond) {
		missing := 0
		for _, s := range cluster.services {
			ready := 0
			for _, p := range s.peers {
				if p.Candidate(time.Now()).IsReady {
					ready++
				}
			}
			missing += max(0, peers-ready)
		}
		if missing == 0 {
			return
		}
		if time.Since(startedAt) > 10*time.Second {
			t.Fatal("peers are not ready")
		}
	}
}

func presentationOf(token string) resumetoken.Presentation {
	return resumetoken.Presentation{Token: token, FlowKey: "k", Group: "g"}
}

// A token presented everywhere at once is honoured once, whoever arbitrates.
func TestGrantsOnceAcrossNodes(t *testing.T) {
	cluster := startTestCluster(t, 3, ServiceConfig{KeyRing: newTestKeyRing(t, "a", "b"), TokenLifetime: time.Minute, ClockSkew: time.Second, ArbiterTimeout: 5 * time.Second})
	cluster.services[1].BeginDraining() // it names others from now on
	for round := range 30 {
		token := cluster.services[round%2].Mint("k", "g", resumetoken.Position{Epoch: 1, Offset: uint64(round)})
		var resumed, floors atomic.Int32
		var wg sync.WaitGroup
		for i := range 9 {
			wg.Go(func() {
				outcome := cluster.services[i%3].Redeem(context.Background(), presentationOf(token))
				if outcome.CanResume {
					resumed.Add(1)
				}
				if outcome.HasMinPosition && outcome.Verdict == resumetoken.Spent && outcome.Position.Offset == uint64(round) {
					floors.Add(1)
				}
			})
		}
		wg.Wait()
		if resumed.Load() != 1 || floors.Load() != 8 {
			t.Fatalf("round %d: honoured %d times, %d told spent", round, resumed.Load(), floors.Load())
		}
	}
}

// With its arbiter away a token is not honoured, in bounded time; it is unspent.
func TestUnreachableArbiterEndsInBoundedTime(t *testing.T) {
	cluster := startTestCluster(t, 2, ServiceConfig{KeyRing: newTestKeyRing(t, "a"), TokenLifetime: time.Minute, ClockSkew: time.Second, ArbiterTimeout: 150 * time.Millisecond})
	token := cluster.services[0].Mint("k", "g", resumetoken.Position{Epoch: 1, Offset: 7})
	cluster.stops[0]()
	startedAt := time.Now()
	outcome := cluster.services[1].Redeem(context.Background(), presentationOf(token))
	if outcome.CanResume || outcome.Verdict != resumetoken.ArbiterUnreachable || !outcome.HasMinPosition || outcome.Position.Offset != 7 {
		t.Errorf("%+v", outcome)
	}
	if took := time.Since(startedAt); took > 5*time.Second {
		t.Errorf("it took %v", took)
	}
	// Its own leaves too: nobody but itself is left, and its ledger survives.
	cluster.services[1].BeginDraining()
	if m := cluster.services[1].Mint("k", "g", resumetoken.Position{}); m == "" {
		t.Error("no token, though its own ledger survives a restart")
	}
	if outcome := cluster.services[0].Redeem(context.Background(), presentationOf(token)); !outcome.CanResume {
		t.Errorf("at its arbiter: %+v", outcome)
	}
	s := NewService("n9", cluster.guards[0], ServiceConfig{KeyRing: newTestKeyRing(t, "a"), TokenLifetime: time.Minute, ArbiterTimeout: 20 * time.Millisecond}, nil)
	if outcome := s.Redeem(context.Background(), presentationOf(token)); outcome.Verdict != resumetoken.ArbiterUnreachable {
		t.Errorf("an arbiter that nobody knows: %+v", outcome)
	}
}

// Who has no key gets no verdict, and what is sent to a ledger costs it nothing.
func TestRejectsRequestsWithoutKey(t *testing.T) {
	keyRing := newTestKeyRing(t, "a")
	cluster := startTestCluster(t, 2, ServiceConfig{KeyRing: keyRing, TokenLifetime: time.Minute, ClockSkew: time.Second, ArbiterTimeout: time.Second})
	token := cluster.services[0].Mint("k", "g", resumetoken.Position{})
	unknownKey, _ := newTestKeyRing(t, "z").Get(1)
	redemptionID := strings.Repeat("0", 32)
	for name, text := range map[string]string{
		"other secret": authenticatedLine(unknownKey, "ask", spendMessage, "c", "1", unknownKey.ID.String(), redemptionID, token),
		"no seal":      "SPEND c 1 00000001 " + redemptionID + " " + token + " 00\r\n",
		"endless":      strings.Repeat("x", 100_000),
		"empty":        "\r\n",
		"binary":       "\x00\xff\xfe\n",
	} {
		conn, err := net.Dial("tcp", cluster.addrs[0])
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
		_, _ = conn.Write([]byte(text))
		answer, err := bufio.NewReader(conn).ReadString('\n')
		if strings.HasPrefix(answer, verdictMessage) || err == nil && answer != refusedMessage+"\r\n" {
			t.Errorf("%s: answered %q", name, answer)
		}
		_ = conn.Close()
	}
	if outcome := cluster.services[1].Redeem(context.Background(), presentationOf(token)); !outcome.CanResume {
		t.Errorf("the honest client's: %+v", outcome)
	}
}

// A peer whose answers' seals don't fit, or which calls itself another, is no
// arbiter.
func TestIgnoresUnauthenticatedPeer(t *testing.T) {
	for name, answer := range map[string]func(k *resumetoken.Key, challenge, seq string) string{
		"no key": func(*resumetoken.Key, string, string) string { return "LEDGER 1 n1 00 ready stays 00\r\n" },
		"old answer": func(k *resumetoken.Key, _, seq string) string {
			return authenticatedLine(k, "answer old", statusMessage, seq, "n1", "0102030405060708", "ready", "stays")
		},
		"another name": func(k *resumetoken.Key, c, seq string) string {
			return authenticatedLine(k, "answer "+c, statusMessage, seq, "n7", "0102030405060708", "ready", "stays")
		},
	} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		keyRing := newTestKeyRing(t, "a")
		k, _ := keyRing.Get(1)
		connected := make(chan struct{}, 8)
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				connected <- struct{}{}
				if words, err := readFields(bufio.NewReader(conn)); err == nil && len(words) == helloFields {
					_, _ = conn.Write([]byte(answer(k, words[1], words[2])))
				}
			}
		}()
		peer := &Peer{Name: "n1", Addr: listener.Addr().String(), ring: func() *resumetoken.KeyRing { return keyRing }}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { peer.Run(ctx); close(done) }()
		<-connected
		<-connected // it was hung up on, and called again
		if peer.Candidate(time.Now()).IsReady {
			t.Errorf("%s: believed", name)
		}
		cancel()
		<-done
		_ = listener.Close()
	}
}

var errNotGranted = errors.New("not granted")

// BenchmarkRedeem spends tokens at a ledger in a file, with many asking at once.
func BenchmarkSpend(b *testing.B) {
	for name, options := range map[string]Options{"group": {}, "alone": {MaxBatch: 1}, "nosync": {NoSync: true}, "memory": {}} {
		b.Run(name, func(b *testing.B) {
			if options.MaxRecords = 1 << 24; name != "memory" {
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

// Over a day's worth of expiry the ledger's file stays as large as its busiest
// minutes made it.
func TestDayStaysFlat(t *testing.T) {
	var clock atomic.Int64
	clock.Store(time.Now().UnixNano())
	keyRing := newTestKeyRing(t, "a")
	guard, _ := startGuard(t, Options{Dir: t.TempDir(), NoSync: true, MaxRecords: 100_000, Now: func() time.Time { return time.Unix(0, clock.Load()) }})
	backend := guard.backend.(*durableBackend)
	const step, perStep, day = time.Minute, 50, 24 * 60
	var early, late int64
	for minute := range day {
		var wg sync.WaitGroup
		for range perStep {
			_, token := mintTestToken(t, keyRing, guard, time.Unix(0, clock.Load()), step)
			wg.Add(1)
			guard.Spend(token, resumetoken.RedemptionID{1}, func(v resumetoken.Verdict) {
				if v != resumetoken.Granted {
					t.Errorf("minute %d: %v", minute, v)
				}
				wg.Done()
			})
		}
		wg.Wait()
		clock.Add(int64(step))
		backend.sweep()
		if minute == day/10 {
			early = backend.store.Size()
		}
	}
	late = backend.store.Size()
	if late > early || guard.RecordCount() > 4*perStep {
		t.Errorf("%d bytes after a tenth of the day, %d at its end; %d records", early, late, guard.RecordCount())
	}
}

// BenchmarkMillion tells what a million spent tokens take.
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
			guard.Spend(token, resumetoken.RedemptionID{1}, func(v resumetoken.Verdict) {
				if v != resumetoken.Granted {
					b.Error(v)
				}
				<-slots
				wg.Done()
			})
		}
		wg.Wait()
		file := guard.backend.(*durableBackend).store.Size()
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		b.ReportMetric(float64(file)/records, "filebytes/record")
		b.ReportMetric(float64(m.HeapInuse)/records, "heapbytes/record")
		stop()
	}
}

// BenchmarkBesideForged redeems honest tokens while others present forged ones,
// ten thousand a second.
func BenchmarkRedeemDuringForgedRequests(b *testing.B) {
	cluster := startTestCluster(b, 2, ServiceConfig{KeyRing: newTestKeyRing(b, "a"), TokenLifetime: time.Hour, ClockSkew: time.Second, ArbiterTimeout: time.Second})
	forged := cluster.services[0].Mint("k", "g", resumetoken.Position{})
	forged = forged[:len(forged)-4] + "AAAA"
	for name, rate := range map[string]int{"without": 0, "with": 10} {
		b.Run(name, func(b *testing.B) {
			ctx, cancel := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			wg.Go(func() {
				for tick := time.NewTicker(time.Millisecond); rate > 0; <-tick.C {
					for range rate {
						if ctx.Err() != nil || cluster.services[1].Redeem(ctx, presentationOf(forged)).CanResume {
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
