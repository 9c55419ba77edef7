package replog

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

// raftLayer implements raft.StreamLayer on the transport, for one run of raft. Close closes
// all its connections at once.
type raftLayer struct {
	transport *transport
	addr      raftAddr
	accepted  chan net.Conn // from deliver to Accept
	ctx       context.Context
	cancel    context.CancelFunc

	mu    sync.Mutex
	conns map[*raftConn]struct{} // open connections, accepted and dialed
}

// raftAddr is this member's address in raft's configuration.
type raftAddr string

// Network returns "tcp".
func (raftAddr) Network() string { return "tcp" }

// String returns the address.
func (a raftAddr) String() string { return string(a) }

// raftConn is a connection of raft. It removes itself from its layer when it is closed.
type raftConn struct {
	net.Conn
	layer  *raftLayer
	once   sync.Once
	closed chan struct{} // closed with the connection
}

// Close removes the connection from its layer and closes it.
func (c *raftConn) Close() error {
	c.once.Do(func() {
		c.layer.mu.Lock()
		delete(c.layer.conns, c)
		c.layer.mu.Unlock()
		close(c.closed)
	})
	return c.Conn.Close()
}

// newRaftLayer returns a layer that works until ctx ends or the layer is closed.
func newRaftLayer(ctx context.Context, transport *transport, localAddr string) *raftLayer {
	layer := &raftLayer{
		transport: transport,
		addr:      raftAddr(localAddr),
		accepted:  make(chan net.Conn),
		conns:     map[*raftConn]struct{}{},
	}
	layer.ctx, layer.cancel = context.WithCancel(ctx)
	return layer
}

// track registers a connection, so that Close closes it. After Close or the end of ctx, track
// closes the connection and returns an error.
func (l *raftLayer) track(conn net.Conn) (*raftConn, error) {
	tracked := &raftConn{Conn: conn, layer: l, closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() != nil {
		_ = conn.Close()
		return nil, net.ErrClosed
	}
	l.conns[tracked] = struct{}{}
	return tracked, nil
}

// deliver passes an accepted connection to raft, and returns when the connection is closed.
func (l *raftLayer) deliver(conn *sealedConn) {
	tracked, err := l.track(conn)
	if err != nil {
		return
	}
	defer func() { _ = tracked.Close() }()
	select {
	case l.accepted <- tracked:
	case <-l.ctx.Done():
		return
	}
	select {
	case <-tracked.closed:
	case <-l.ctx.Done():
	}
}

// Accept returns the next connection from another voter.
func (l *raftLayer) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.ctx.Done():
		return nil, net.ErrClosed
	}
}

// Dial connects to another voter.
func (l *raftLayer) Dial(to raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	conn, err := l.transport.dial(l.ctx, string(to), purposeRaft, timeout)
	if err != nil {
		return nil, err
	}
	return l.track(conn)
}

// Addr returns this member's address in raft's configuration.
func (l *raftLayer) Addr() net.Addr { return l.addr }

// Close closes all connections before it returns, so that nothing raft sends later reaches a
// peer.
func (l *raftLayer) Close() error {
	l.mu.Lock()
	l.cancel()
	conns := l.conns
	l.conns = map[*raftConn]struct{}{}
	l.mu.Unlock()
	for conn := range conns {
		_ = conn.Close()
	}
	return nil
}
