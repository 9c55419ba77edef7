package proxy_test

import (
	"bufio"
	"net"
	"testing"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/bufconn"
	"coralrelay/internal/dispatch"
	"coralrelay/internal/lineproto"
	"coralrelay/internal/proxy"
	"coralrelay/internal/testsocket"
)

const testTimeout = 10 * time.Second // reached only by a test that fails

// connPair returns both ends of a connection on real sockets.
func connPair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	near, far = testsocket.Pair(t)
	if err := far.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	return near, far
}

// reset closes a connection with a TCP reset.
func reset(t *testing.T, conn net.Conn) {
	t.Helper()
	if err := conn.(*net.TCPConn).SetLinger(0); err != nil {
		t.Error(err)
	}
	conn.Close()
}

type fakeEncoder struct{}

func (fakeEncoder) ForwardLine(_, _ time.Time) string { return "OPEN" }

// fakeObserver forwards its notifications to channels.
type fakeObserver struct {
	gone  chan struct{}
	ended chan balance.Outcome
}

func newFakeObserver() *fakeObserver {
	return &fakeObserver{gone: make(chan struct{}), ended: make(chan balance.Outcome, 1)}
}

func (o *fakeObserver) ClientGone(dispatch.Placement) { close(o.gone) }

func (o *fakeObserver) PlacementEnded(_ dispatch.Placement, outcome balance.Outcome) {
	o.ended <- outcome
}

func (o *fakeObserver) expectOutcome(t *testing.T, want balance.Outcome) {
	t.Helper()
	if got := receive(t, o.ended); got != want {
		t.Errorf("the session ended with outcome %v, want %v", got, want)
	}
}

// fixture is a session between a client and an upstream.
type fixture struct {
	*fakeObserver
	session          *proxy.Session
	upstreamConn     *bufconn.Conn // the session's end of the upstream's connection
	client, upstream net.Conn      // the far ends
	clientReader     *bufio.Reader
	upstreamReader   *bufio.Reader
	finished         chan struct{} // closed when Run has returned
}

// startSession runs a session on real sockets.
func startSession(t *testing.T) *fixture {
	t.Helper()
	return startSessionOn(t, func() (near, far net.Conn) { return connPair(t) })
}

// startSessionOn runs a session on the connections that pair makes.
func startSessionOn(t *testing.T, pair func() (near, far net.Conn)) *fixture {
	t.Helper()
	clientNear, client := pair()
	upstreamNear, upstream := pair()
	f := newFixture(clientNear, client, upstreamNear, upstream)
	f.run()
	return f
}

// newFixture returns a fixture whose session does not run yet.
func newFixture(clientNear, client, upstreamNear, upstream net.Conn) *fixture {
	observer := newFakeObserver()
	request := proxy.Request{ID: "a"}
	return &fixture{
		fakeObserver: observer,
		session: proxy.New(request, fakeEncoder{}, lineproto.Codec{}, observer,
			bufconn.New(clientNear)),
		upstreamConn:   bufconn.New(upstreamNear),
		client:         client,
		upstream:       upstream,
		clientReader:   bufio.NewReader(client),
		upstreamReader: bufio.NewReader(upstream),
		finished:       make(chan struct{}),
	}
}

func (f *fixture) run() {
	go func() {
		defer close(f.finished)
		f.session.Run()
	}()
}

// establish establishes the session and reads its UP.
func (f *fixture) establish(t *testing.T) {
	t.Helper()
	if !f.session.Establish("UP r1", "s1", f.upstreamConn) {
		t.Fatal("the session did not accept UP")
	}
	f.expectLine(t, f.clientReader, "UP r1\r\n")
}

// expectSettled fails the test if the session accepts another answer.
func (f *fixture) expectSettled(t *testing.T) {
	t.Helper()
	receive(t, f.session.Context().Done())
	if f.session.Establish("UP r1", "s1", f.upstreamConn) {
		t.Error("a settled session accepted UP")
	}
}

// expectLine reads one line. An empty want is the end of the connection.
func (f *fixture) expectLine(t *testing.T, from *bufio.Reader, want string) {
	t.Helper()
	if got, err := from.ReadString('\n'); got != want {
		t.Fatalf("read %q, %v; want %q", got, err, want)
	}
}

// closeClient closes the client's end and waits for the session to end.
func (f *fixture) closeClient(t *testing.T) {
	t.Helper()
	f.client.Close()
	receive(t, f.finished)
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
		t.Fatal("nothing was received before the timeout")
	}
	return v
}
