package hotrestart

import (
	"io"
	"net"
	"testing"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/bufconn"
	"coralrelay/internal/dispatch"
	"coralrelay/internal/lineproto"
	"coralrelay/internal/proxy"
)

func newNode(t *testing.T) *node {
	n := &node{ended: make(chan balance.Outcome, 9), asked: make(chan struct{}, 9), may: make(chan struct{})}
	t.Cleanup(n.runs.Wait) // once the far ends are closed
	return n
}

func (n *node) ClientGone(dispatch.Placement)                          {}
func (n *node) PlacementEnded(_ dispatch.Placement, o balance.Outcome) { n.ended <- o }
func (n *node) Learn(balance.LearnedState)                             {}

func (n *node) Adopt(s proxy.EstablishedSession, caller, hop net.Conn) bool {
	n.asked <- struct{}{}
	<-n.may
	n.runs.Go(proxy.Inherit(s, lineproto.Codec{}, n, caller, hop).Run)
	return true
}

// stands brings a connection up, and returns it with its far ends.
func (n *node) stands(t *testing.T) (x *proxy.Session, client, feed net.Conn, finished <-chan struct{}) {
	t.Helper()
	caller, client := pair(t)
	hop, feed := pair(t)
	x = proxy.New(proxy.Request{ID: "a"}, nil, lineproto.Codec{}, n, bufconn.New(caller))
	done := make(chan struct{})
	go func() { defer close(done); x.Run() }()
	if !x.Establish("UP r1", "s1", bufconn.New(hop)) {
		t.Fatal("Up was not taken")
	}
	for _, c := range []net.Conn{client, feed} {
		c.SetDeadline(time.Now().Add(patience))
	}
	reads(t, client, "UP r1\r\n")
	return x, client, feed, done
}

// reads reads just what is wanted.
func reads(t *testing.T, c io.Reader, want string) {
	t.Helper()
	b := make([]byte, len(want))
	if n, err := io.ReadFull(c, b); string(b[:n]) != want {
		t.Errorf("read %q, %v; want %q", b[:n], err, want)
	}
}

// ends reads to an end that is none by reset.
func ends(t *testing.T, c net.Conn, want string) {
	t.Helper()
	if all, err := io.ReadAll(c); err != nil || string(all) != want {
		t.Errorf("read %q, %v; want %q and its end", all, err, want)
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
