package downstream

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/dispatch"
	"coralrelay/internal/proxy"
	"coralrelay/internal/testsocket"
)

const testTimeout = 10 * time.Second // reached only by a test that fails

// rejectingDispatcher keeps the submitted sessions and rejects them.
type rejectingDispatcher chan *proxy.Session

func (d rejectingDispatcher) Submit(item dispatch.Placement, _ dispatch.AttemptStarter) {
	d <- item.(*proxy.Session)
	item.Reject(0)
}

func (rejectingDispatcher) Adopt(dispatch.Placement, string) bool              { return true }
func (rejectingDispatcher) ClientGone(dispatch.Placement)                      {}
func (rejectingDispatcher) PlacementEnded(dispatch.Placement, balance.Outcome) {}

// holdingDispatcher keeps the submitted sessions and answers none. It records its notifications in
// order.
type holdingDispatcher struct {
	submitted chan *proxy.Session
	events    chan string
	release   chan struct{} // Submit waits until it is closed; nil for no wait
}

func newHoldingDispatcher() *holdingDispatcher {
	return &holdingDispatcher{submitted: make(chan *proxy.Session, 64), events: make(chan string, 64)}
}

func (h *holdingDispatcher) Submit(item dispatch.Placement, _ dispatch.AttemptStarter) {
	h.submitted <- item.(*proxy.Session)
	if h.release != nil {
		<-h.release
	}
	h.events <- "submitted " + item.PlacementRequest().ID
}

func (h *holdingDispatcher) Adopt(dispatch.Placement, string) bool { return true }

func (h *holdingDispatcher) ClientGone(item dispatch.Placement) {
	h.events <- "gone " + item.PlacementRequest().ID
}

func (h *holdingDispatcher) PlacementEnded(item dispatch.Placement, _ balance.Outcome) {
	h.events <- "ended " + item.PlacementRequest().ID
}

// fakeListener accepts the connections that are sent to it.
type fakeListener chan net.Conn

func (l fakeListener) Accept() (net.Conn, error) {
	if c, ok := <-l; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}
func (l fakeListener) Close() error { close(l); return nil }
func (fakeListener) Addr() net.Addr { return &net.TCPAddr{} }

// connect has the server accept a new connection on real sockets, writes text from the far end and
// returns that end.
func (l fakeListener) connect(t *testing.T, text string) net.Conn {
	t.Helper()
	near, far := connPair(t)
	l <- near
	fmt.Fprint(far, text)
	return far
}

// connectPipe is connect on a pipe, for tests in a synctest bubble.
func (l fakeListener) connectPipe(text string) net.Conn {
	near, far := net.Pipe()
	l <- near
	fmt.Fprint(far, text)
	return far
}

// serve starts Serve. The returned function closes the listener and waits for Serve to return.
func serve(t *testing.T, s *Server, l net.Listener) (stopServing func()) {
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	return func() {
		t.Helper()
		_ = l.Close()
		if err := <-served; err != nil {
			t.Error(err)
		}
	}
}

// serveAll starts Serve on a fakeListener. The returned function closes the listener and the
// server.
func serveAll(t *testing.T, s *Server) (listener fakeListener, stop func()) {
	listener = make(fakeListener)
	stopServing := serve(t, s, listener)
	return listener, func() {
		t.Helper()
		stopServing()
		s.Close()
	}
}

// listen returns a listener on a real socket.
func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// dial connects to a listener.
func dial(t *testing.T, l net.Listener) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// connPair returns both ends of a connection on real sockets.
func connPair(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	near, far = testsocket.Pair(t)
	if err := far.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	return near, far
}

// readAll returns what is read until the end of the connection, which must not be a reset.
func readAll(t *testing.T, far net.Conn) string {
	t.Helper()
	text, err := io.ReadAll(far)
	if err != nil {
		t.Errorf("read %q, then the error %v", text, err)
	}
	return string(text)
}
