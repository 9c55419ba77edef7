package proxy

import (
	"bytes"
	"errors"
	"io"
	"net"

	"coralrelay/internal/bufconn"
)

// CommitGate blocks the reads and writes of an inherited session until the sender has closed its
// own copies of the connections. Commit or Abort must be called once, by one goroutine.
type CommitGate struct {
	session *Session // nil before Inherit
	decided chan struct{}
	aborted bool // set before decided is closed
}

// NewCommitGate returns a gate for an EstablishedSession that is about to be inherited.
func NewCommitGate() *CommitGate { return &CommitGate{decided: make(chan struct{})} }

// Commit lets the session proceed: only this process owns the connections now.
func (g *CommitGate) Commit() { close(g.decided) }

// Abort ends the session without reading or writing: the sender still owns the connections, and
// only the copies of this process are closed.
func (g *CommitGate) Abort() {
	if g.session != nil {
		g.session.clientLeft() // before the relay can pass the end of its input on to the client
	}
	g.aborted = true
	close(g.decided)
}

// errHandoverAborted is returned by reads from connections that the sender has kept.
var errHandoverAborted = errors.New("handover aborted: the sender keeps the connection")

// Read waits for Commit or Abort and returns no bytes: it returns io.EOF if the connection may be
// read now, and errHandoverAborted otherwise.
func (g *CommitGate) Read([]byte) (int, error) {
	<-g.decided
	if g.aborted {
		return 0, errHandoverAborted
	}
	return 0, io.EOF
}

// newConn returns a buffered connection whose input starts with unread, the bytes that the sender
// has read but not relayed. Reads wait at the gate; a nil gate is open.
func (g *CommitGate) newConn(conn net.Conn, unread []byte) *bufconn.Conn {
	buffered := bufconn.NewWithUnread(conn, unread)
	if g != nil {
		buffered.R.Reset(io.MultiReader(g, bytes.NewReader(unread), conn))
	}
	return buffered
}
