package proxy_test

import (
	"bytes"
	"net"
	"os"
	"testing"

	"coralrelay/internal/lineproto"
	"coralrelay/internal/proxy"
)

// fakeSuccessor is a successor that answers when the test tells it to. It runs the session that it
// is offered.
type fakeSuccessor struct {
	*fakeObserver
	t        *testing.T
	offered  chan struct{}            // closed when the session is offered
	accepts  chan bool                // the answer
	state    proxy.EstablishedSession // as offered
	finished chan struct{}            // closed when the inherited session's Run has returned
}

func newFakeSuccessor(t *testing.T) *fakeSuccessor {
	return &fakeSuccessor{
		fakeObserver: newFakeObserver(),
		t:            t,
		offered:      make(chan struct{}),
		accepts:      make(chan bool),
		finished:     make(chan struct{}),
	}
}

func (f *fakeSuccessor) Take(state proxy.EstablishedSession, client, upstream net.Conn) bool {
	state.FromClient, state.FromUpstream = bytes.Clone(state.FromClient), bytes.Clone(state.FromUpstream)
	state.Gate = proxy.NewCommitGate()
	f.state = state
	session := proxy.Inherit(state, lineproto.Codec{}, f.fakeObserver,
		f.copyConn(client), f.copyConn(upstream))
	go func() {
		defer close(f.finished)
		session.Run()
	}()
	close(f.offered)
	accepts := <-f.accepts
	if accepts {
		state.Gate.Commit()
	} else {
		state.Gate.Abort()
	}
	return accepts
}

// copyConn returns a connection on a duplicate of the descriptor, as another process would receive
// it.
func (f *fakeSuccessor) copyConn(conn net.Conn) net.Conn {
	file, err := conn.(interface{ File() (*os.File, error) }).File()
	if err != nil {
		f.t.Error(err)
		return conn
	}
	defer file.Close()
	copied, err := net.FileConn(file)
	if err != nil {
		f.t.Error(err)
	}
	return copied
}
