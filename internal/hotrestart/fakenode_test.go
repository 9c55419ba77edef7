package hotrestart

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/bufconn"
	"coralrelay/internal/dispatch"
	"coralrelay/internal/lineproto"
	"coralrelay/internal/proxy"
	"coralrelay/internal/testsocket"
)

// fakeNode is the sending or the receiving process. It serves sessions and reports their outcomes
// on ended.
type fakeNode struct {
	ended      chan balance.Outcome
	adopting   chan struct{} // receives a value at each Adopt, which then waits for allowAdopt
	allowAdopt chan struct{}
	sessions   sync.WaitGroup
}

func newFakeNode(t *testing.T) *fakeNode {
	n := &fakeNode{ended: make(chan balance.Outcome, 9), adopting: make(chan struct{}, 9), allowAdopt: make(chan struct{})}
	t.Cleanup(n.sessions.Wait) // runs after the far ends are closed
	return n
}

func (n *fakeNode) ClientGone(dispatch.Placement)                          {}
func (n *fakeNode) PlacementEnded(_ dispatch.Placement, o balance.Outcome) { n.ended <- o }
func (n *fakeNode) Learn(balance.LearnedState)                             {}

func (n *fakeNode) Adopt(s proxy.EstablishedSession, downstreamConn, upstreamConn net.Conn) bool {
	n.adopting <- struct{}{}
	<-n.allowAdopt
	n.sessions.Go(proxy.Inherit(s, lineproto.Codec{}, n, downstreamConn, upstreamConn).Run)
	return true
}

// startSession establishes a session and returns it with the far ends of its connections.
func (n *fakeNode) startSession(t *testing.T) (
	session *proxy.Session, client, server net.Conn, finished <-chan struct{},
) {
	t.Helper()
	downstreamConn, client := testsocket.Pair(t)
	upstreamConn, server := testsocket.Pair(t)
	session = proxy.New(proxy.Request{ID: "a"}, nil, lineproto.Codec{}, n, bufconn.New(downstreamConn))
	done := make(chan struct{})
	go func() { defer close(done); session.Run() }()
	if !session.Establish("UP r1", "s1", bufconn.New(upstreamConn)) {
		t.Fatal("the session could not be established")
	}
	for _, c := range []net.Conn{client, server} {
		_ = c.SetDeadline(time.Now().Add(testTimeout))
	}
	expectRead(t, client, "UP r1\r\n")
	return session, client, server, done
}

// expectRead reads len(want) bytes and requires that they are want.
func expectRead(t *testing.T, c io.Reader, want string) {
	t.Helper()
	b := make([]byte, len(want))
	if n, err := io.ReadFull(c, b); string(b[:n]) != want {
		t.Errorf("read %q, %v; want %q", b[:n], err, want)
	}
}

// expectEnd requires that c delivers want and then ends without a reset.
func expectEnd(t *testing.T, c net.Conn, want string) {
	t.Helper()
	if all, err := io.ReadAll(c); err != nil || string(all) != want {
		t.Errorf("read %q, %v; want %q and the end of the stream", all, err, want)
	}
}

func await[T any](t *testing.T, c <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(testTimeout):
		t.Fatal("timed out waiting for a value")
	}
	return v
}
