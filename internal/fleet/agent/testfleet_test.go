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
type fakeLog struct {
	mu         sync.Mutex
	view       replog.View
	changed    chan struct{}
	blocked    bool // proposals are not decided
	pending    int  // proposals under way
	maxPending int  // at once
}

func newFakeLog(t *testing.T, g logentry.Genesis) *fakeLog {
	s, err := logentry.NewState(g)
	if err != nil {
		t.Fatal(err)
	}
	return &fakeLog{view: replog.View{State: s, Role: "leader", Leader: "n1"}, changed: make(chan struct{})}
}

func (l *fakeLog) View() replog.View {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.view
}

func (l *fakeLog) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

func (l *fakeLog) change(f func(v *replog.View)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.view)
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *fakeLog) IsLeader() bool { return l.View().WithinLease }

func (l *fakeLog) Propose(ctx context.Context, e logentry.Entry) (o logentry.Outcome, err error) {
	l.mu.Lock()
	l.pending++
	l.maxPending = max(l.maxPending, l.pending)
	stuck := l.blocked
	l.mu.Unlock()
	defer func() { l.mu.Lock(); l.pending--; l.mu.Unlock() }()
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
type testFleet struct {
	agent        *Agent
	log          *fakeLog
	failureShare map[string]float64 // share of attempts into a zone that fail, as all see it
	halfEpoch    int64
	nodeClient   *apiClient
	dial         func() net.Conn
	startedAt    time.Time
	transcript   bytes.Buffer // the transcript
}

func newTestFleet(t *testing.T, ctx context.Context) *testFleet {
	cfg := zonestatus.DefaultConfig()
	w := &testFleet{log: newFakeLog(t, logentry.Genesis{RootKey: rootKey.Public().(ed25519.PublicKey), Zones: cfg}), failureShare: map[string]float64{}, startedAt: time.Now()}
	clock := func() time.Duration { return time.Duration(time.Now().UnixNano()) }
	m := gossip.NewMember("n1", quota.Config{Epoch: 1500 * time.Millisecond, LeaseTimeout: time.Minute, ReportTTL: 3 * time.Second, RetryRatio: 0.2, MaxOutlierFraction: 0.25}, quota.Guards{}, clock)
	m.Zone = "a"
	for i, z := range []string{"a", "b", "b", "c", "c"} {
		m.SetMemberStatus(fmt.Sprint("n", i+2), quota.Alive, []byte(`{"zone":"`+z+`"}`))
	}
	w.agent = New(Options{Name: "n1", Zone: "a", Gossip: m, Log: w.log, Zones: &cfg, LogLease: 2 * time.Second, Clock: clock,
		Accounts: &account.LeaseConfig{Epoch: 1500 * time.Millisecond, HolderTimeout: time.Minute, FleetSize: 6}})
	l := &pipeListener{accepted: make(chan net.Conn), closed: make(chan struct{})}
	w.dial = l.dial
	go func() {
		if err := agentapi.Serve(ctx, l, w.agent); err != nil {
			t.Error(err)
		}
	}()
	w.nodeClient = newAPIClient(w.dial())
	return w
}

// hear has the other members speak.
func (w *testFleet) receiveReports(seq int) {
	for i, z := range []string{"a", "b", "b", "c", "c"} {
		observations := ""
		for _, to := range []string{"a", "b", "c"} {
			bad := 0
			if w.failureShare[to] >= 0.5 {
				bad = 2
			}
			observations += fmt.Sprintf(`,["%s",2,%d,2,10,%g,0.4,0]`, to, bad, 10*w.failureShare[to])
		}
		w.agent.Gossip.Receive(fmt.Appendf(nil, `{"member":"n%d","boot":1,"seq":%d,"at":%d,"firsts":10,"zone":"%s","sights":[%s]}`,
			i+2, seq, time.Now().UnixNano(), z, observations[1:]))
	}
}

// spending is what the node says: it sees what all see.
func (w *testFleet) quotaUsage() (sp balance.QuotaUsage) {
	sp.Period = w.halfEpoch
	for _, z := range []string{"a", "b", "c"} {
		for i := range 2 {
			sp.Servers = append(sp.Servers, balance.ServerUsage{ID: fmt.Sprint("s-", z, i), Zone: z, Load: 0.4, RecentAttempts: 5, RecentFailures: 5 * w.failureShare[z]})
		}
	}
	return sp
}

// write adds a line to the transcript.
func (w *testFleet) writeTranscript(who, format string, args ...any) {
	fmt.Fprintf(&w.transcript, "%5.2f  %-9s %s\n", time.Since(w.startedAt).Seconds(), who, fmt.Sprintf(format, args...))
}

// talk is one connection.
type apiClient struct {
	conn   net.Conn
	reader *bufio.Reader
}

func newAPIClient(c net.Conn) *apiClient { return &apiClient{c, bufio.NewReader(c)} }

func (c *apiClient) request(line string) (string, error) {
	if _, err := fmt.Fprintln(c.conn, line); err != nil {
		return "", err
	}
	return c.reader.ReadString('\n')
}

// pipes is a listener without sockets.
type pipeListener struct {
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (p *pipeListener) dial() net.Conn {
	ours, theirs := net.Pipe()
	p.accepted <- theirs
	return ours
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.accepted:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}
func (p *pipeListener) Close() error   { p.once.Do(func() { close(p.closed) }); return nil }
func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }
