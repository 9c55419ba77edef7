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

func ring(t testing.TB, secrets ...string) *resumetoken.KeyRing {
	var keys []*resumetoken.Key
	for i, s := range secrets {
		k, err := resumetoken.NewKey(resumetoken.KeyID(i+1), time.Unix(int64(i), 0), []byte(strings.Repeat(s, resumetoken.SecretSize)))
		if err != nil {
			t.Fatal(err)
		}
		keys = append(keys, k)
	}
	r, err := resumetoken.NewKeyRing(keys...)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func start(t testing.TB, o Options) (*Guard, context.CancelFunc) {
	if o.MaxRecords == 0 {
		o.MaxRecords = 1000
	}
	l, err := Open(o)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { l.Run(ctx); close(done) }()
	stop := func() { cancel(); <-done }
	t.Cleanup(stop)
	return l, stop
}

var number atomic.Uint64

// token returns a token that a ledger arbitrates.
func token(t testing.TB, r *resumetoken.KeyRing, l *Guard, issued time.Time, life time.Duration) (string, *resumetoken.Token) {
	n := number.Add(1)
	text, err := resumetoken.Mint(r, issued, resumetoken.Claims{Issuer: "n0", Arbiter: "n0", GuardID: l.ID, FlowKey: "k", Group: "g",
		Position: resumetoken.Position{Epoch: 1, Offset: n}, Lifetime: life, Nonce: resumetoken.Nonce{byte(n), byte(n >> 8), byte(n >> 16), byte(n >> 24)}})
	if err != nil {
		t.Fatal(err)
	}
	tok, err := resumetoken.Open(r, text)
	if err != nil {
		t.Fatal(err)
	}
	return text, &tok
}

func judge(l *Guard, tok *resumetoken.Token, claimant byte) resumetoken.Verdict {
	return spendAs(l, tok, resumetoken.RedemptionID{claimant})
}

func spendAs(l *Guard, tok *resumetoken.Token, c resumetoken.RedemptionID) resumetoken.Verdict {
	tell := make(chan resumetoken.Verdict, 1)
	l.Spend(tok, c, func(v resumetoken.Verdict) { tell <- v })
	return <-tell
}

// What was granted stays granted to that claimant alone, over a restart; a ledger
// whose file is lost is another, and honours nothing that names the old one.
func TestRestart(t *testing.T) {
	dir, r := t.TempDir(), ring(t, "a")
	l, stop := start(t, Options{Dir: dir})
	_, tok := token(t, r, l, time.Now(), time.Minute)
	_, unspent := token(t, r, l, time.Now(), time.Minute)
	if v := judge(l, tok, 1); v != resumetoken.Granted {
		t.Fatal(v)
	}
	stop()
	l, stop = start(t, Options{Dir: dir})
	for claimant, want := range map[byte]resumetoken.Verdict{1: resumetoken.Granted, 2: resumetoken.Spent} {
		if v := judge(l, tok, claimant); v != want || l.RecordCount() != 1 {
			t.Errorf("claimant %d: %v, want %v; %d kept", claimant, v, want, l.RecordCount())
		}
	}
	stop()
	if err := os.WriteFile(filepath.Join(dir, FileName), []byte("not a ledger"), 0o600); err != nil {
		t.Fatal(err)
	}
	l, _ = start(t, Options{Dir: dir})
	for _, old := range []*resumetoken.Token{tok, unspent} {
		if v := judge(l, old, 3); v != resumetoken.WrongGuard {
			t.Errorf("after its file was lost: %v", v)
		}
	}
	if aside, _ := filepath.Glob(filepath.Join(dir, "*.foreign-*")); len(aside) != 1 {
		t.Errorf("set aside: %q", aside)
	}
}

func TestFullAndSweep(t *testing.T) {
	for name, dir := range map[string]string{"file": t.TempDir(), "memory": ""} {
		t.Run(name, func(t *testing.T) {
			r := ring(t, "a")
			var clock atomic.Int64
			clock.Store(time.Now().UnixNano())
			now := func() time.Time { return time.Unix(0, clock.Load()) }
			l, _ := start(t, Options{Dir: dir, MaxRecords: 3, Now: now})
			var spent []*resumetoken.Token
			for range 3 {
				_, tok := token(t, r, l, now(), 30*time.Second)
				if v := judge(l, tok, 1); v != resumetoken.Granted {
					t.Fatal(v)
				}
				spent = append(spent, tok)
			}
			_, more := token(t, r, l, now(), time.Hour)
			if v := judge(l, more, 1); v != resumetoken.GuardFull || l.IsReady() {
				t.Errorf("one more: %v, ready %v", v, l.IsReady())
			}
			if v := judge(l, spent[0], 1); v != resumetoken.Granted {
				t.Errorf("asked again while full: %v", v)
			}
			clock.Add(int64(2 * time.Minute))
			l.backend.sweep()
			for begun := time.Now(); l.RecordCount() > 0; time.Sleep(time.Millisecond) {
				if time.Since(begun) > 10*time.Second {
					t.Fatalf("%d records were not forgotten", l.RecordCount())
				}
			}
			if v := judge(l, more, 1); v != resumetoken.Granted {
				t.Errorf("with room again: %v", v)
			}
		})
	}
}

// A ledger that can't write honours nothing, says so, and mints elsewhere.
func TestBroken(t *testing.T) {
	r := ring(t, "a")
	l, _ := start(t, Options{Dir: t.TempDir()})
	_, tok := token(t, r, l, time.Now(), time.Minute)
	if err := l.backend.(*durableBackend).store.Close(); err != nil { // the disk is gone
		t.Fatal(err)
	}
	if v := judge(l, tok, 1); v != resumetoken.GuardUnavailable || l.IsReady() || l.RecordCount() != 0 {
		t.Errorf("%v, ready %v, kept %d", v, l.IsReady(), l.RecordCount())
	}
}

func TestReadOnlyFolder(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(dir, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(Options{Dir: dir, MaxRecords: 1}); err == nil || !strings.Contains(err.Error(), dir) {
		t.Errorf("a folder that can't be made: %v", err)
	}
}

// installation is some nodes that may talk.
type installation struct {
	services []*Service
	ledgers  []*Guard
	stops    []func()
	addrs    []string
}

func install(t testing.TB, n int, terms ServiceConfig) *installation {
	in := &installation{}
	peers := map[string]string{}
	var listeners []net.Listener
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, l)
		in.addrs = append(in.addrs, l.Addr().String())
		peers[fmt.Sprintf("n%d", i)] = l.Addr().String()
	}
	for i, listener := range listeners {
		name := fmt.Sprintf("n%d", i)
		l, _ := start(t, Options{Dir: t.TempDir(), MaxRecords: 1 << 20})
		s := NewService(name, l, terms, peers)
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		wg.Go(func() { _ = (&Server{Name: name, Guard: l, KeyRing: s.KeyRing}).Serve(ctx, listener) })
		wg.Go(func() { s.Run(ctx) })
		stop := func() { cancel(); wg.Wait() }
		t.Cleanup(stop)
		in.services, in.ledgers, in.stops = append(in.services, s), append(in.ledgers, l), append(in.stops, stop)
	}
	in.ready(t, n-1)
	return in
}

// ready waits until every node's peers have said how they are.
func (in *installation) ready(t testing.TB, peers int) {
	for begun := time.Now(); ; time.Sleep(time.Millisecond) {
		missing := 0
		for _, s := range in.services {
			there := 0
			for _, p := range s.peers {
				if p.Candidate(time.Now()).IsReady {
					there++
				}
			}
			missing += max(0, peers-there)
		}
		if missing == 0 {
			return
		}
		if time.Since(begun) > 10*time.Second {
			t.Fatal("peers are not ready")
		}
	}
}

func present(token string) resumetoken.Presentation {
	return resumetoken.Presentation{Token: token, FlowKey: "k", Group: "g"}
}

// A token presented everywhere at once is honoured once, whoever arbitrates.
func TestOnceAmongNodes(t *testing.T) {
	in := install(t, 3, ServiceConfig{KeyRing: ring(t, "a", "b"), TokenLifetime: time.Minute, ClockSkew: time.Second, ArbiterTimeout: 5 * time.Second})
	in.services[1].BeginDraining() // it names others from now on
	for round := range 30 {
		tok := in.services[round%2].Mint("k", "g", resumetoken.Position{Epoch: 1, Offset: uint64(round)})
		var resumed, floors atomic.Int32
		var wg sync.WaitGroup
		for i := range 9 {
			wg.Go(func() {
				o := in.services[i%3].Redeem(context.Background(), present(tok))
				if o.CanResume {
					resumed.Add(1)
				}
				if o.HasMinPosition && o.Verdict == resumetoken.Spent && o.Position.Offset == uint64(round) {
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
func TestArbiterAway(t *testing.T) {
	in := install(t, 2, ServiceConfig{KeyRing: ring(t, "a"), TokenLifetime: time.Minute, ClockSkew: time.Second, ArbiterTimeout: 150 * time.Millisecond})
	tok := in.services[0].Mint("k", "g", resumetoken.Position{Epoch: 1, Offset: 7})
	in.stops[0]()
	begun := time.Now()
	o := in.services[1].Redeem(context.Background(), present(tok))
	if o.CanResume || o.Verdict != resumetoken.ArbiterUnreachable || !o.HasMinPosition || o.Position.Offset != 7 {
		t.Errorf("%+v", o)
	}
	if took := time.Since(begun); took > 5*time.Second {
		t.Errorf("it took %v", took)
	}
	// Its own leaves too: nobody but itself is left, and its ledger survives.
	in.services[1].BeginDraining()
	if m := in.services[1].Mint("k", "g", resumetoken.Position{}); m == "" {
		t.Error("no token, though its own ledger survives a restart")
	}
	if o := in.services[0].Redeem(context.Background(), present(tok)); !o.CanResume {
		t.Errorf("at its arbiter: %+v", o)
	}
	s := NewService("n9", in.ledgers[0], ServiceConfig{KeyRing: ring(t, "a"), TokenLifetime: time.Minute, ArbiterTimeout: 20 * time.Millisecond}, nil)
	if o := s.Redeem(context.Background(), present(tok)); o.Verdict != resumetoken.ArbiterUnreachable {
		t.Errorf("an arbiter that nobody knows: %+v", o)
	}
}

// Who has no key gets no verdict, and what is sent to a ledger costs it nothing.
func TestStrangers(t *testing.T) {
	r := ring(t, "a")
	in := install(t, 2, ServiceConfig{KeyRing: r, TokenLifetime: time.Minute, ClockSkew: time.Second, ArbiterTimeout: time.Second})
	tok := in.services[0].Mint("k", "g", resumetoken.Position{})
	k, _ := ring(t, "z").Get(1)
	claim := strings.Repeat("0", 32)
	for name, text := range map[string]string{
		"other secret": authenticatedLine(k, "ask", spendMessage, "c", "1", k.ID.String(), claim, tok),
		"no seal":      "SPEND c 1 00000001 " + claim + " " + tok + " 00\r\n",
		"endless":      strings.Repeat("x", 100_000),
		"empty":        "\r\n",
		"binary":       "\x00\xff\xfe\n",
	} {
		conn, err := net.Dial("tcp", in.addrs[0])
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
	if o := in.services[1].Redeem(context.Background(), present(tok)); !o.CanResume {
		t.Errorf("the honest client's: %+v", o)
	}
}

// A peer whose answers' seals don't fit, or which calls itself another, is no
// arbiter.
func TestLyingPeer(t *testing.T) {
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
		r := ring(t, "a")
		k, _ := r.Get(1)
		again := make(chan struct{}, 8)
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				again <- struct{}{}
				if words, err := readFields(bufio.NewReader(conn), 5); err == nil {
					_, _ = conn.Write([]byte(answer(k, words[1], words[2])))
				}
			}
		}()
		p := &Peer{Name: "n1", Addr: listener.Addr().String(), ring: func() *resumetoken.KeyRing { return r }}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { p.Run(ctx); close(done) }()
		<-again
		<-again // it was hung up on, and called again
		if p.Candidate(time.Now()).IsReady {
			t.Errorf("%s: believed", name)
		}
		cancel()
		<-done
		_ = listener.Close()
	}
}

var errNoSpend = errors.New("not granted")

// BenchmarkRedeem spends tokens at a ledger in a file, with many asking at once.
func BenchmarkRedeem(b *testing.B) {
	for name, o := range map[string]Options{"group": {}, "alone": {MaxBatch: 1}, "nosync": {NoSync: true}, "memory": {}} {
		b.Run(name, func(b *testing.B) {
			if o.MaxRecords = 1 << 24; name != "memory" {
				o.Dir = b.TempDir()
			}
			l, _ := start(b, o)
			r := ring(b, "a")
			b.SetParallelism(64)
			b.RunParallel(func(p *testing.PB) {
				for p.Next() {
					_, tok := token(b, r, l, time.Now(), time.Hour)
					if judge(l, tok, 1) != resumetoken.Granted {
						b.Error(errNoSpend)
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
	r := ring(t, "a")
	l, _ := start(t, Options{Dir: t.TempDir(), NoSync: true, MaxRecords: 100_000, Now: func() time.Time { return time.Unix(0, clock.Load()) }})
	k := l.backend.(*durableBackend)
	const step, perStep, day = time.Minute, 50, 24 * 60
	var early, late int64
	for minute := range day {
		var wg sync.WaitGroup
		for range perStep {
			_, tok := token(t, r, l, time.Unix(0, clock.Load()), step)
			wg.Add(1)
			l.Spend(tok, resumetoken.RedemptionID{1}, func(v resumetoken.Verdict) {
				if v != resumetoken.Granted {
					t.Errorf("minute %d: %v", minute, v)
				}
				wg.Done()
			})
		}
		wg.Wait()
		clock.Add(int64(step))
		k.sweep()
		if minute == day/10 {
			early = k.store.Size()
		}
	}
	late = k.store.Size()
	if late > early || l.RecordCount() > 4*perStep {
		t.Errorf("%d bytes after a tenth of the day, %d at its end; %d records", early, late, l.RecordCount())
	}
}

// BenchmarkMillion tells what a million spent tokens take.
func BenchmarkMillion(b *testing.B) {
	const records = 1_000_000
	r := ring(b, "a")
	for b.Loop() {
		l, stop := start(b, Options{Dir: b.TempDir(), MaxRecords: records})
		var wg sync.WaitGroup
		slots := make(chan struct{}, 1000)
		for range records {
			var n resumetoken.Nonce
			_, _ = rand.Read(n[:])
			_, tok := token(b, r, l, time.Now(), time.Hour)
			tok.Nonce = n
			slots <- struct{}{}
			wg.Add(1)
			l.Spend(tok, resumetoken.RedemptionID{1}, func(v resumetoken.Verdict) {
				if v != resumetoken.Granted {
					b.Error(v)
				}
				<-slots
				wg.Done()
			})
		}
		wg.Wait()
		file := l.backend.(*durableBackend).store.Size()
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
func BenchmarkBesideForged(b *testing.B) {
	in := install(b, 2, ServiceConfig{KeyRing: ring(b, "a"), TokenLifetime: time.Hour, ClockSkew: time.Second, ArbiterTimeout: time.Second})
	forged := in.services[0].Mint("k", "g", resumetoken.Position{})
	forged = forged[:len(forged)-4] + "AAAA"
	for name, rate := range map[string]int{"without": 0, "with": 10} {
		b.Run(name, func(b *testing.B) {
			ctx, cancel := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			wg.Go(func() {
				for tick := time.NewTicker(time.Millisecond); rate > 0; <-tick.C {
					for range rate {
						if ctx.Err() != nil || in.services[1].Redeem(ctx, present(forged)).CanResume {
							return
						}
					}
				}
			})
			var took []time.Duration
			for b.Loop() {
				tok := in.services[0].Mint("k", "g", resumetoken.Position{})
				begun := time.Now()
				if !in.services[1].Redeem(ctx, present(tok)).CanResume {
					b.Error(errNoSpend)
				}
				took = append(took, time.Since(begun))
			}
			cancel()
			wg.Wait()
			slices.Sort(took)
			b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-us")
		})
	}
}
