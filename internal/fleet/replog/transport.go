package replog

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

// Bounds on who may be connected.
const (
	maxHandshakes = 32  // greetings at once; who has been at it longest makes room
	maxConns      = 256 // of members that hold the key
)

// port is the one listener, for raft, followers and proposals alike.
type transport struct {
	net.Listener
	key     []byte
	localIP net.IP // calls go out from here
	ctx     context.Context

	mu          sync.Mutex
	handshaking []net.Conn
	conns       map[net.Conn]struct{}
	wg          sync.WaitGroup
}

func newTransport(options *Options) (*transport, error) {
	listener, err := net.Listen("tcp", options.Bind)
	if err != nil {
		return nil, fmt.Errorf("fleet.record.bind: %w", err)
	}
	return &transport{Listener: listener, key: options.Key, localIP: listener.Addr().(*net.TCPAddr).IP, conns: map[net.Conn]struct{}{}}, nil
}

// serve hands each connection of a member to take, until ctx ends; then all are closed.
func (t *transport) serve(ctx context.Context, handle func(kind byte, conn *sealedConn)) error {
	stop := context.AfterFunc(ctx, func() {
		_ = t.Close()
		t.mu.Lock()
		defer t.mu.Unlock()
		for conn := range t.conns {
			_ = conn.Close()
		}
		for _, conn := range t.handshaking {
			_ = conn.Close()
		}
	})
	defer stop()
	defer t.wg.Wait()
	for {
		conn, err := t.Accept()
		if ctx.Err() != nil {
			if err == nil {
				_ = conn.Close()
			}
			return nil
		}
		if err != nil { // of one caller, or too many open files: neither is the listener's end
			select {
			case <-time.After(20 * time.Millisecond):
			case <-ctx.Done():
			}
			continue
		}
		t.mu.Lock()
		if len(t.handshaking) >= maxHandshakes {
			_ = t.handshaking[0].Close()
			t.handshaking = t.handshaking[1:]
		}
		t.handshaking = append(t.handshaking, conn)
		t.mu.Unlock()
		t.wg.Go(func() { t.serveConn(ctx, conn, handle) })
	}
}

// greet lets in who holds the key. Until the first frame is opened a caller costs one
// derivation, and is cut off after a time.
func (t *transport) serveConn(ctx context.Context, conn net.Conn, handle func(purpose byte, conn *sealedConn)) {
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	sealed, err := handshake(conn, t.key, false)
	var purpose [1]byte
	if err == nil {
		_, err = sealed.Read(purpose[:])
	}
	t.mu.Lock()
	for i := range t.handshaking {
		if t.handshaking[i] == conn {
			t.handshaking = append(t.handshaking[:i:i], t.handshaking[i+1:]...)
			break
		}
	}
	if err != nil || len(t.conns) >= maxConns || ctx.Err() != nil {
		t.mu.Unlock()
		return
	}
	t.conns[conn] = struct{}{}
	t.mu.Unlock()
	defer func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.conns, conn)
	}()
	_ = conn.SetDeadline(time.Time{})
	handle(purpose[0], sealed)
}

// dial calls a member.
func (t *transport) dial(ctx context.Context, addr string, purpose byte, timeout time.Duration) (*sealedConn, error) {
	dialer := net.Dialer{Timeout: timeout}
	if !t.localIP.IsUnspecified() {
		dialer.LocalAddr = &net.TCPAddr{IP: t.localIP}
	}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	_ = conn.SetDeadline(time.Now().Add(timeout))
	sealed, err := handshake(conn, t.key, true)
	if err == nil {
		_, err = sealed.Write([]byte{purpose})
	}
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("%s: %w", addr, err)
	}
	_ = conn.SetDeadline(time.Time{})
	return sealed, nil
}

// layer is raft's way through the port, and can be cut at once. It is one run of raft's.
type raftLayer struct {
	transport *transport
	addr      raftAddr
	accepted  chan net.Conn
	ctx       context.Context
	cancel    context.CancelFunc

	mu    sync.Mutex
	conns map[*raftConn]struct{}
}

type raftAddr string

func (raftAddr) Network() string  { return "tcp" }
func (a raftAddr) String() string { return string(a) }

// raftConn tells its layer when it is closed.
type raftConn struct {
	net.Conn
	layer  *raftLayer
	once   sync.Once
	closed chan struct{}
}

func (c *raftConn) Close() error {
	c.once.Do(func() {
		c.layer.mu.Lock()
		delete(c.layer.conns, c)
		c.layer.mu.Unlock()
		close(c.closed)
	})
	return c.Conn.Close()
}

func newRaftLayer(ctx context.Context, transport *transport, localAddr string) *raftLayer {
	layer := &raftLayer{transport: transport, addr: raftAddr(localAddr), accepted: make(chan net.Conn), conns: map[*raftConn]struct{}{}}
	layer.ctx, layer.cancel = context.WithCancel(ctx)
	return layer
}

// track keeps a connection to be cut, unless all are cut already.
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

// give hands raft a connection that was accepted, and returns when it is done with.
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

func (l *raftLayer) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.ctx.Done():
		return nil, net.ErrClosed
	}
}

func (l *raftLayer) Dial(to raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	conn, err := l.transport.dial(l.ctx, string(to), purposeRaft, timeout)
	if err != nil {
		return nil, err
	}
	return l.track(conn)
}

func (l *raftLayer) Addr() net.Addr { return l.addr }

// Close cuts all connections before it returns: nothing that raft says later goes out.
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
