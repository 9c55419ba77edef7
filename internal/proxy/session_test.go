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

const testTimeout = 10 * time.Second // no test waits this long unless it fails

// pair returns both ends of a connection on real sockets.
func connPair(t *testing.T) (near, far net.Conn) {
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
	far.SetDeadline(time.Now().Add(testTimeout))
	return near, far
}

type fakeEncoder struct{}

func (fakeEncoder) ForwardLine(_, _ time.Time) string { return "OPEN" }

// watcher keeps what it is told.
type fakeObserver struct {
	gone  chan struct{}
	ended chan balance.Outcome
}

func (w *fakeObserver) ClientGone(dispatch.Placement)                          { close(w.gone) }
func (w *fakeObserver) PlacementEnded(_ dispatch.Placement, o balance.Outcome) { w.ended <- o }

// bench is a transaction between two parties on real sockets.
type fixture struct {
	*fakeObserver
	session          *proxy.Session
	upstreamConn     *bufconn.Conn
	client, upstream net.Conn // the far ends
	clientReader     *bufio.Reader
	upstreamReader   *bufio.Reader
	finished         chan struct{}
}

func startSession(t *testing.T) *fixture {
	t.Helper()
	return startSessionOn(t, func() (near, far net.Conn) { return connPair(t) })
}

func startSessionOn(t *testing.T, pair func() (clientNear, far net.Conn)) *fixture {
	t.Helper()
	clientNear, client := pair()
	upstreamNear, upstream := pair()
	b := newFixture(clientNear, client, upstreamNear, upstream)
	b.run()
	return b
}

// newBench is a bench whose transaction does not run yet.
func newFixture(clientNear, client, upstreamNear, upstream net.Conn) *fixture {
	observer := &fakeObserver{gone: make(chan struct{}), ended: make(chan balance.Outcome, 1)}
	b := &fixture{fakeObserver: observer, client: client, upstream: upstream, upstreamConn: bufconn.New(upstreamNear), clientReader: bufio.NewReader(client),
		upstreamReader: bufio.NewReader(upstream), finished: make(chan struct{})}
	b.session = proxy.New(proxy.Request{ID: "a"}, fakeEncoder{}, lineproto.Codec{}, observer, bufconn.New(clientNear))
	return b
}

func (b *fixture) run() { go func() { defer close(b.finished); b.session.Run() }() }

// up brings the connection up.
func (b *fixture) establish(t *testing.T) {
	t.Helper()
	if !b.session.Establish("UP r1", "s1", b.upstreamConn) {
		t.Fatal("Up was not taken")
	}
	b.expectLine(t, b.clientReader, "UP r1\r\n")
}

func (b *fixture) expectLine(t *testing.T, from *bufio.Reader, want string) {
	t.Helper()
	if got, err := from.ReadString('\n'); got != want {
		t.Fatalf("read %q, %v; want %q", got, err, want)
	}
}

func write(t *testing.T, to net.Conn, text string) {
	t.Helper()
	if _, err := to.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
}

func receive[T any](t *testing.T, c <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(testTimeout):
		t.Fatal("nothing came")
	}
	return v
}

// A branch leaves its own deadlines on the leg that it hands over. Lines that
// came after it were once dropped: writes to the next hop failed with it.
func TestRelaysLinesAfterTheAttemptsDeadline(t *testing.T) {
	b := startSession(t)
	write(t, b.client, "too early\r\n")
	b.upstreamConn.SetWriteDeadline(time.Now().Add(-time.Second))
	b.establish(t)
	b.expectLine(t, b.upstreamReader, "too early\r\n") // it waited for UP, and no longer
	write(t, b.client, "are you there\r\n")
	b.expectLine(t, b.upstreamReader, "are you there\r\n")
	write(t, b.upstream, "yes\r\n")
	b.expectLine(t, b.clientReader, "yes\r\n")
}

// A hung next hop answers nothing: its caller is moved, well before 7 s.
func TestSilentUpstreamMigratesClient(t *testing.T) {
	b := startSession(t)
	b.establish(t)
	write(t, b.client, "are you there\r\n")
	b.expectLine(t, b.upstreamReader, "are you there\r\n")
	begun := time.Now()
	b.expectLine(t, b.clientReader, "MOVE\r\n")
	if took := time.Since(begun); took < time.Second || took > 7*time.Second {
		t.Errorf("moved after %v", took)
	}
	if outcome := receive(t, b.ended); outcome != balance.Reset {
		t.Errorf("ended as %v, want Reset", outcome)
	}
	if _, err := b.upstreamReader.ReadByte(); err == nil {
		t.Error("the next hop's leg is still open")
	}
}

// An answer that comes late but comes keeps the connection: here between the first
// look and the last.
func TestLateAnswerKeepsTheSession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startSessionOn(t, net.Pipe)
		b.establish(t)
		write(t, b.client, "are you there\r\n")
		b.expectLine(t, b.upstreamReader, "are you there\r\n")
		write(t, b.upstream, "LOA") // half a line must outlive the wait for the rest
		time.Sleep(1600 * time.Millisecond)
		go fmt.Fprint(b.upstream, "D 7\r\nyes\r\n")
		b.expectLine(t, b.clientReader, "LOAD 7\r\n")
		b.expectLine(t, b.clientReader, "yes\r\n")
		b.session.Migrate()
		b.expectLine(t, b.clientReader, "MOVE\r\n")
		if outcome := receive(t, b.ended); outcome != balance.Cancelled {
			t.Errorf("ended as %v, want Cancelled", outcome)
		}
		b.client.Close()
		receive(t, b.finished)
	})
}

// Either side's end ends the other side.
func TestEndOfEitherSideEndsTheOther(t *testing.T) {
	reset := func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() }
	tests := []struct {
		name   string
		end    func(t *testing.T, b *fixture)
		want   balance.Outcome
		passed string // the last line that the caller gets
	}{
		{"next hop says BYE", func(t *testing.T, b *fixture) { write(t, b.upstream, "BYE x0=1\r\n"); b.upstream.Close() }, balance.OK, "BYE x0=1\r\n"},
		{"next hop says MOVE", func(t *testing.T, b *fixture) { write(t, b.upstream, "MOVE\r\n"); b.upstream.Close() }, balance.Cancelled, "MOVE\r\n"},
		{"next hop ends", func(_ *testing.T, b *fixture) { b.upstream.Close() }, balance.Reset, ""},
		{"next hop resets", func(_ *testing.T, b *fixture) { reset(b.upstream) }, balance.Reset, ""},
		{"caller ends", func(_ *testing.T, b *fixture) { b.client.Close() }, balance.Cancelled, ""},
		{"caller resets", func(_ *testing.T, b *fixture) { reset(b.client) }, balance.Cancelled, ""},
		{"our move", func(_ *testing.T, b *fixture) { b.session.Migrate() }, balance.Cancelled, "MOVE\r\n"},
		{"our move within a line", func(t *testing.T, b *fixture) {
			write(t, b.upstream, "whole\r\nhalf a li")
			b.expectLine(t, b.clientReader, "whole\r\n")
			b.session.Migrate()
		}, balance.Cancelled, "MOVE\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := startSession(t)
			b.establish(t)
			tt.end(t, b)
			if outcome := receive(t, b.ended); outcome != tt.want {
				t.Errorf("ended as %v, want %v", outcome, tt.want)
			}
			if got, _ := b.clientReader.ReadString('\n'); got != tt.passed {
				t.Errorf("the caller's last line is %q, want %q", got, tt.passed)
			}
			if _, err := b.upstreamReader.ReadByte(); err == nil {
				t.Error("the next hop's leg is still open")
			}
			receive(t, b.finished)
		})
	}
}
