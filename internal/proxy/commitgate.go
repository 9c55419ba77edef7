package proxy

import (
	"bytes"
	"errors"
	"io"
	"net"

	"coralrelay/internal/bufconn"
)

// CommitGate keeps an inherited session from reading and writing until its sender has
// closed its own copies of the connections. One goroutine calls Commit or Abort, once.
type CommitGate struct {
	session *Session // nil before Inherit
	decided chan struct{}
	aborted bool // set before decided is closed
}

// NewCommitGate returns a gate for an EstablishedSession that is about to be inherited.
func NewCommitGate() *CommitGate { return &CommitGate{decided: make(chan struct{})} }

// Commit lets the session go on: this process alone owns the connections.
func (g *CommitGate) Commit() { close(g.decided) }

// Abort ends the session with nothing read or written: the connections are still the
// sender's, and only the copies of this process are closed.
func (g *CommitGate) Abort() {
	if g.session != nil {
		g.session.clientLeft() // before its relay can see an end, which it would pass on
	}
	g.aborted = true
	close(g.decided)
}

// errHandoverAborted ends the reads from connections that the sender has kept.
var errHandoverAborted = errors.New("handover aborted: the sender keeps the connection")

// Read waits for Commit or Abort. It returns no bytes: io.EOF once the connection may be
// read, else errHandoverAborted.
func (g *CommitGate) Read([]byte) (int, error) {
	<-g.decided
	if g.aborted {
		return 0, errHandoverAborted
	}
	return 0, io.EOF
}

// newConn returns a buffered connection whose input starts with the unread bytes that the
// sender had read. Reads wait at the gate; a nil gate is open.
func (g *CommitGate) newConn(conn net.Conn, unread []byte) *bufconn.Conn {
	buffered := bufconn.NewWithUnread(conn, unread)
	if g != nil {
		buffered.R.Reset(io.MultiReader(g, bytes.NewReader(unread), conn))
	}
	return buffered
}
