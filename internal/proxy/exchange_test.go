package proxy_test

import (
	"bufio"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/bufconn"
	"coralrelay/internal/dispatch"
	"coralrelay/internal/lineproto"
	"coralrelay/internal/proxy"
)

const patience = 10 * time.Second // no test waits this long unless it fails

// pair returns both ends of a connection on real sockets.
func pair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if far, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if near, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { near.Close(); far.Close() })
	far.SetDeadline(time.Now().Add(patience))
	return near, far
}

type opening struct{}

func (opening) ForwardLine(_, _ time.Time) string { return "OPEN" }

// watcher keeps what it is told.
type watcher struct {
	gone  chan struct{}
	ended chan balance.Outcome
}

func (w *watcher) ClientGone(dispatch.Placement)                          { close(w.gone) }
func (w *watcher) PlacementEnded(_ dispatch.Placement, o balance.Outcome) { w.ended <- o }

// bench is a transaction between two parties on real sockets.
type bench struct {
	*watcher
	t           *proxy.Session
	hopLeg      *bufconn.Conn
	caller, hop net.Conn // the far ends
	fromNode    *bufio.Reader
	fromCaller  *bufio.Reader
	finished    chan struct{}
}

func start(t *testing.T) *bench {
	t.Helper()
	return startOn(t, func() (near, far net.Conn) { return pair(t) })
}

func startOn(t *testing.T, pair func() (near, far net.Conn)) *bench {
	t.Helper()
	near, caller := pair()
	hopNear, hop := pair()
	b := newBench(near, caller, hopNear, hop)
	b.run()
	return b
}

// newBench is a bench whose transaction does not run yet.
func newBench(near, caller, hopNear, hop net.Conn) *bench {
	w := &watcher{gone: make(chan struct{}), ended: make(chan balance.Outcome, 1)}
	b := &bench{watcher: w, caller: caller, hop: hop, hopLeg: bufconn.New(hopNear), fromNode: bufio.NewReader(caller),
		fromCaller: bufio.NewReader(hop), finished: make(chan struct{})}
	b.t = proxy.New(proxy.Request{ID: "a"}, opening{}, lineproto.Codec{}, w, bufconn.New(near))
	return b
}

func (b *bench) run() { go func() { defer close(b.finished); b.t.Run() }() }

// up brings the connection up.
func (b *bench) up(t *testing.T) {
	t.Helper()
	if !b.t.Establish("UP r1", "s1", b.hopLeg) {
		t.Fatal("Up was not taken")
	}
	b.expect(t, b.fromNode, "UP r1\r\n")
}

func (b *bench) expect(t *testing.T, from *bufio.Reader, want string) {
	t.Helper()
	if got, err := from.ReadString('\n'); got != want {
		t.Fatalf("read %q, %v; want %q", got, err, want)
	}
}

func say(t *testing.T, to net.Conn, text string) {
	t.Helper()
	if _, err := to.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
}

func wait[T any](t *testing.T, c <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(patience):
		t.Fatal("nothing came")
	}
	return v
}

// A branch leaves its own deadlines on the leg that it hands over. Lines that
// came after it were once dropped: writes to the next hop failed with it.
func TestLinesOutliveTheBranchsDeadline(t *testing.T) {
	b := start(t)
	say(t, b.caller, "too early\r\n")
	b.hopLeg.SetWriteDeadline(time.Now().Add(-time.Second))
	b.up(t)
	b.expect(t, b.fromCaller, "too early\r\n") // it waited for UP, and no longer
	say(t, b.caller, "are you there\r\n")
	b.expect(t, b.fromCaller, "are you there\r\n")
	say(t, b.hop, "yes\r\n")
	b.expect(t, b.fromNode, "yes\r\n")
}

// A hung next hop answers nothing: its caller is moved, well before 7 s.
func TestSilentNextHop(t *testing.T) {
	b := start(t)
	b.up(t)
	say(t, b.caller, "are you there\r\n")
	b.expect(t, b.fromCaller, "are you there\r\n")
	begun := time.Now()
	b.expect(t, b.fromNode, "MOVE\r\n")
	if took := time.Since(begun); took < time.Second || took > 7*time.Second {
		t.Errorf("moved after %v", took)
	}
	if how := wait(t, b.ended); how != balance.Reset {
		t.Errorf("ended as %v, want Reset", how)
	}
	if _, err := b.fromCaller.ReadByte(); err == nil {
		t.Error("the next hop's leg is still open")
	}
}

// An answer that comes late but comes keeps the connection: here between the first
// look and the last.
func TestLateAnswerKeepsTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startOn(t, net.Pipe)
		b.up(t)
		say(t, b.caller, "are you there\r\n")
		b.expect(t, b.fromCaller, "are you there\r\n")
		say(t, b.hop, "LOA") // half a line must outlive the wait for the rest
		time.Sleep(1600 * time.Millisecond)
		go fmt.Fprint(b.hop, "D 7\r\nyes\r\n")
		b.expect(t, b.fromNode, "LOAD 7\r\n")
		b.expect(t, b.fromNode, "yes\r\n")
		b.t.Migrate()
		b.expect(t, b.fromNode, "MOVE\r\n")
		if how := wait(t, b.ended); how != balance.Cancelled {
			t.Errorf("ended as %v, want Cancelled", how)
		}
		b.caller.Close()
		wait(t, b.finished)
	})
}

// Either side's end ends the other side.
func TestEnds(t *testing.T) {
	reset := func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() }
	tests := []struct {
		name   string
		end    func(t *testing.T, b *bench)
		want   balance.Outcome
		passed string // the last line that the caller gets
	}{
		{"next hop says BYE", func(t *testing.T, b *bench) { say(t, b.hop, "BYE x0=1\r\n"); b.hop.Close() }, balance.OK, "BYE x0=1\r\n"},
		{"next hop says MOVE", func(t *testing.T, b *bench) { say(t, b.hop, "MOVE\r\n"); b.hop.Close() }, balance.Cancelled, "MOVE\r\n"},
		{"next hop ends", func(_ *testing.T, b *bench) { b.hop.Close() }, balance.Reset, ""},
		{"next hop resets", func(_ *testing.T, b *bench) { reset(b.hop) }, balance.Reset, ""},
		{"caller ends", func(_ *testing.T, b *bench) { b.caller.Close() }, balance.Cancelled, ""},
		{"caller resets", func(_ *testing.T, b *bench) { reset(b.caller) }, balance.Cancelled, ""},
		{"our move", func(_ *testing.T, b *bench) { b.t.Migrate() }, balance.Cancelled, "MOVE\r\n"},
		{"our move within a line", func(t *testing.T, b *bench) {
			say(t, b.hop, "whole\r\nhalf a li")
			b.expect(t, b.fromNode, "whole\r\n")
			b.t.Migrate()
		}, balance.Cancelled, "MOVE\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := start(t)
			b.up(t)
			tt.end(t, b)
			if how := wait(t, b.ended); how != tt.want {
				t.Errorf("ended as %v, want %v", how, tt.want)
			}
			if got, _ := b.fromNode.ReadString('\n'); got != tt.passed {
				t.Errorf("the caller's last line is %q, want %q", got, tt.passed)
			}
			if _, err := b.fromCaller.ReadByte(); err == nil {
				t.Error("the next hop's leg is still open")
			}
			wait(t, b.finished)
		})
	}
}
