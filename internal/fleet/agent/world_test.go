package agent

import (
	"bufio"
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/fleet/account"
	"coralrelay/internal/fleet/agentapi"
	"coralrelay/internal/fleet/gossip"
	"coralrelay/internal/fleet/logentry"
	"coralrelay/internal/fleet/quota"
	"coralrelay/internal/fleet/replog"
	"coralrelay/internal/fleet/zonestatus"
)

// ledger is a record of one voter without sockets: the real state and rules, committed
// after 20 ms.
type ledger struct {
	mu    sync.Mutex
	view  replog.View
	woken chan struct{}
	stuck bool // proposals are not decided
	asked int  // proposals under way
	most  int  // at once
}

func newLedger(t *testing.T, g logentry.Genesis) *ledger {
	s, err := logentry.NewState(g)
	if err != nil {
		t.Fatal(err)
	}
	return &ledger{view: replog.View{State: s, Role: "leader", Leader: "n1"}, woken: make(chan struct{})}
}

func (l *ledger) View() replog.View {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.view
}

func (l *ledger) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.woken
}

func (l *ledger) change(f func(v *replog.View)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.view)
	close(l.woken)
	l.woken = make(chan struct{})
}

func (l *ledger) IsLeader() bool { return l.View().WithinLease }

func (l *ledger) Propose(ctx context.Context, e logentry.Entry) (o logentry.Outcome, err error) {
	l.mu.Lock()
	l.asked++
	l.most = max(l.most, l.asked)
	stuck := l.stuck
	l.mu.Unlock()
	defer func() { l.mu.Lock(); l.asked--; l.mu.Unlock() }()
	if stuck {
		<-ctx.Done()
		return o, fmt.Errorf("%w: %w", replog.ErrOutcomeUnknown, ctx.Err())
	}
	time.Sleep(20 * time.Millisecond)
	raw, err := json.Marshal(e)
	if err != nil {
		return o, err
	}
	l.change(func(v *replog.View) { v.State, o = v.State.Apply(raw) })
	return o, nil
}

// world is an agent with its node and five other members, two in each of three zones.
type world struct {
	agent  *Agent
	ledger *ledger
	failed map[string]float64 // share of attempts into a zone that fail, as all see it
	half   int64
	node   *talk
	dial   func() net.Conn
	began  time.Time
	out    bytes.Buffer // the transcript
}

func newWorld(t *testing.T, ctx context.Context) *world {
	cfg := zonestatus.DefaultConfig()
	w := &world{ledger: newLedger(t, logentry.Genesis{RootKey: rootKey.Public().(ed25519.PublicKey), Zones: cfg}), failed: map[string]float64{}, began: time.Now()}
	clock := func() time.Duration { return time.Duration(time.Now().UnixNano()) }
	m := gossip.NewMember("n1", quota.Config{Epoch: 1500 * time.Millisecond, LeaseTimeout: time.Minute, ReportTTL: 3 * time.Second, RetryRatio: 0.2, MaxOutlierFraction: 0.25}, quota.Guards{}, clock)
	m.Zone = "a"
	for i, z := range []string{"a", "b", "b", "c", "c"} {
		m.SetMemberStatus(fmt.Sprint("n", i+2), quota.Alive, []byte(`{"zone":"`+z+`"}`))
	}
	w.agent = New(Options{Name: "n1", Zone: "a", Gossip: m, Log: w.ledger, Zones: &cfg, LogLease: 2 * time.Second, Clock: clock,
		Accounts: &account.LeaseConfig{Epoch: 1500 * time.Millisecond, HolderTimeout: time.Minute, FleetSize: 6}})
	l := &pipes{made: make(chan net.Conn), closed: make(chan struct{})}
	w.dial = l.dial
	go func() {
		if err := agentapi.Serve(ctx, l, w.agent); err != nil {
			t.Error(err)
		}
	}()
	w.node = newTalk(w.dial())
	return w
}

// hear has the other members speak.
func (w *world) hear(seq int) {
	for i, z := range []string{"a", "b", "b", "c", "c"} {
		sights := ""
		for _, to := range []string{"a", "b", "c"} {
			bad := 0
			if w.failed[to] >= 0.5 {
				bad = 2
			}
			sights += fmt.Sprintf(`,["%s",2,%d,2,10,%g,0.4,0]`, to, bad, 10*w.failed[to])
		}
		w.agent.Gossip.Receive(fmt.Appendf(nil, `{"member":"n%d","boot":1,"seq":%d,"at":%d,"firsts":10,"zone":"%s","sights":[%s]}`,
			i+2, seq, time.Now().UnixNano(), z, sights[1:]))
	}
}

// spending is what the node says: it sees what all see.
func (w *world) spending() (sp balance.QuotaUsage) {
	sp.Period = w.half
	for _, z := range []string{"a", "b", "c"} {
		for i := range 2 {
			sp.Servers = append(sp.Servers, balance.ServerUsage{ID: fmt.Sprint("s-", z, i), Zone: z, Load: 0.4, RecentAttempts: 5, RecentFailures: 5 * w.failed[z]})
		}
	}
	return sp
}

// write adds a line to the transcript.
func (w *world) write(who, format string, args ...any) {
	fmt.Fprintf(&w.out, "%5.2f  %-9s %s\n", time.Since(w.began).Seconds(), who, fmt.Sprintf(format, args...))
}

// talk is one connection.
type talk struct {
	conn net.Conn
	in   *bufio.Reader
}

func newTalk(c net.Conn) *talk { return &talk{c, bufio.NewReader(c)} }

func (c *talk) ask(line string) (string, error) {
	if _, err := fmt.Fprintln(c.conn, line); err != nil {
		return "", err
	}
	return c.in.ReadString('\n')
}

// pipes is a listener without sockets.
type pipes struct {
	made   chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (p *pipes) dial() net.Conn {
	ours, theirs := net.Pipe()
	p.made <- theirs
	return ours
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.made:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}
func (p *pipes) Close() error   { p.once.Do(func() { close(p.closed) }); return nil }
func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }
