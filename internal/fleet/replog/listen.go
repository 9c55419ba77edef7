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

func newTransport(o *Options) (*transport, error) {
	l, err := net.Listen("tcp", o.Bind)
	if err != nil {
		return nil, fmt.Errorf("fleet.record.bind: %w", err)
	}
	return &transport{Listener: l, key: o.Key, localIP: l.Addr().(*net.TCPAddr).IP, conns: map[net.Conn]struct{}{}}, nil
}

// serve hands each connection of a member to take, until ctx ends; then all are closed.
func (p *transport) serve(ctx context.Context, take func(kind byte, c *sealedConn)) error {
	stop := context.AfterFunc(ctx, func() {
		_ = p.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		for c := range p.conns {
			_ = c.Close()
		}
		for _, c := range p.handshaking {
			_ = c.Close()
		}
	})
	defer stop()
	defer p.wg.Wait()
	for {
		c, err := p.Accept()
		if ctx.Err() != nil {
			if err == nil {
				_ = c.Close()
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
		p.mu.Lock()
		if len(p.handshaking) >= maxHandshakes {
			_ = p.handshaking[0].Close()
			p.handshaking = p.handshaking[1:]
		}
		p.handshaking = append(p.handshaking, c)
		p.mu.Unlock()
		p.wg.Go(func() { p.serveConn(ctx, c, take) })
	}
}

// greet lets in who holds the key. Until the first frame is opened a caller costs one
// derivation, and is cut off after a time.
func (p *transport) serveConn(ctx context.Context, c net.Conn, take func(kind byte, c *sealedConn)) {
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(handshakeTimeout))
	sealed, err := handshake(c, p.key, false)
	var kind [1]byte
	if err == nil {
		_, err = sealed.Read(kind[:])
	}
	p.mu.Lock()
	for i := range p.handshaking {
		if p.handshaking[i] == c {
			p.handshaking = append(p.handshaking[:i:i], p.handshaking[i+1:]...)
			break
		}
	}
	if err != nil || len(p.conns) >= maxConns || ctx.Err() != nil {
		p.mu.Unlock()
		return
	}
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.conns, c)
	}()
	_ = c.SetDeadline(time.Time{})
	take(kind[0], sealed)
}

// dial calls a member.
func (p *transport) dial(ctx context.Context, addr string, kind byte, timeout time.Duration) (*sealedConn, error) {
	d := net.Dialer{Timeout: timeout}
	if !p.localIP.IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: p.localIP}
	}
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	_ = c.SetDeadline(time.Now().Add(timeout))
	sealed, err := handshake(c, p.key, true)
	if err == nil {
		_, err = sealed.Write([]byte{kind})
	}
	if err != nil {
		_ = c.Close()
		return nil, fmt.Errorf("%s: %w", addr, err)
	}
	_ = c.SetDeadline(time.Time{})
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

func newRaftLayer(ctx context.Context, p *transport, at string) *raftLayer {
	l := &raftLayer{transport: p, addr: raftAddr(at), accepted: make(chan net.Conn), conns: map[*raftConn]struct{}{}}
	l.ctx, l.cancel = context.WithCancel(ctx)
	return l
}

// track keeps a connection to be cut, unless all are cut already.
func (l *raftLayer) track(c net.Conn) (*raftConn, error) {
	rc := &raftConn{Conn: c, layer: l, closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() != nil {
		_ = c.Close()
		return nil, net.ErrClosed
	}
	l.conns[rc] = struct{}{}
	return rc, nil
}

// give hands raft a connection that was accepted, and returns when it is done with.
func (l *raftLayer) deliver(c *sealedConn) {
	rc, err := l.track(c)
	if err != nil {
		return
	}
	defer func() { _ = rc.Close() }()
	select {
	case l.accepted <- rc:
	case <-l.ctx.Done():
		return
	}
	select {
	case <-rc.closed:
	case <-l.ctx.Done():
	}
}

func (l *raftLayer) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.ctx.Done():
		return nil, net.ErrClosed
	}
}

func (l *raftLayer) Dial(to raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	c, err := l.transport.dial(l.ctx, string(to), purposeRaft, timeout)
	if err != nil {
		return nil, err
	}
	return l.track(c)
}

func (l *raftLayer) Addr() net.Addr { return l.addr }

// Close cuts all connections before it returns: nothing that raft says later goes out.
func (l *raftLayer) Close() error {
	l.mu.Lock()
	l.cancel()
	conns := l.conns
	l.conns = map[*raftConn]struct{}{}
	l.mu.Unlock()
	for c := range conns {
		_ = c.Close()
	}
	return nil
}
