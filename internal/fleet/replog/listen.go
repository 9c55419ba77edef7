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
	mostShaking = 32  // greetings at once; who has been at it longest makes room
	mostConns   = 256 // of members that hold the key
)

// port is the one listener, for raft, followers and proposals alike.
type port struct {
	net.Listener
	key  []byte
	from net.IP // calls go out from here
	ctx  context.Context

	mu      sync.Mutex
	shaking []net.Conn
	conns   map[net.Conn]struct{}
	wg      sync.WaitGroup
}

func newPort(o *Options) (*port, error) {
	l, err := net.Listen("tcp", o.Bind)
	if err != nil {
		return nil, fmt.Errorf("fleet.record.bind: %w", err)
	}
	return &port{Listener: l, key: o.Key, from: l.Addr().(*net.TCPAddr).IP, conns: map[net.Conn]struct{}{}}, nil
}

// serve hands each connection of a member to take, until ctx ends; then all are closed.
func (p *port) serve(ctx context.Context, take func(kind byte, c *conn)) error {
	stop := context.AfterFunc(ctx, func() {
		_ = p.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		for c := range p.conns {
			_ = c.Close()
		}
		for _, c := range p.shaking {
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
		if len(p.shaking) >= mostShaking {
			_ = p.shaking[0].Close()
			p.shaking = p.shaking[1:]
		}
		p.shaking = append(p.shaking, c)
		p.mu.Unlock()
		p.wg.Go(func() { p.greet(ctx, c, take) })
	}
}

// greet lets in who holds the key. Until the first frame is opened a caller costs one
// derivation, and is cut off after a time.
func (p *port) greet(ctx context.Context, c net.Conn, take func(kind byte, c *conn)) {
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(shake))
	sealed, err := greet(c, p.key, false)
	var kind [1]byte
	if err == nil {
		_, err = sealed.Read(kind[:])
	}
	p.mu.Lock()
	for i := range p.shaking {
		if p.shaking[i] == c {
			p.shaking = append(p.shaking[:i:i], p.shaking[i+1:]...)
			break
		}
	}
	if err != nil || len(p.conns) >= mostConns || ctx.Err() != nil {
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
func (p *port) dial(ctx context.Context, addr string, kind byte, timeout time.Duration) (*conn, error) {
	d := net.Dialer{Timeout: timeout}
	if !p.from.IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: p.from}
	}
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	_ = c.SetDeadline(time.Now().Add(timeout))
	sealed, err := greet(c, p.key, true)
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
type layer struct {
	p    *port
	addr addr
	come chan net.Conn
	ctx  context.Context
	end  context.CancelFunc

	mu    sync.Mutex
	conns map[*raftConn]struct{}
}

type addr string

func (addr) Network() string  { return "tcp" }
func (a addr) String() string { return string(a) }

// raftConn tells its layer when it is closed.
type raftConn struct {
	net.Conn
	l    *layer
	once sync.Once
	gone chan struct{}
}

func (c *raftConn) Close() error {
	c.once.Do(func() {
		c.l.mu.Lock()
		delete(c.l.conns, c)
		c.l.mu.Unlock()
		close(c.gone)
	})
	return c.Conn.Close()
}

func newLayer(ctx context.Context, p *port, at string) *layer {
	l := &layer{p: p, addr: addr(at), come: make(chan net.Conn), conns: map[*raftConn]struct{}{}}
	l.ctx, l.end = context.WithCancel(ctx)
	return l
}

// track keeps a connection to be cut, unless all are cut already.
func (l *layer) track(c net.Conn) (*raftConn, error) {
	rc := &raftConn{Conn: c, l: l, gone: make(chan struct{})}
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
func (l *layer) give(c *conn) {
	rc, err := l.track(c)
	if err != nil {
		return
	}
	defer func() { _ = rc.Close() }()
	select {
	case l.come <- rc:
	case <-l.ctx.Done():
		return
	}
	select {
	case <-rc.gone:
	case <-l.ctx.Done():
	}
}

func (l *layer) Accept() (net.Conn, error) {
	select {
	case c := <-l.come:
		return c, nil
	case <-l.ctx.Done():
		return nil, net.ErrClosed
	}
}

func (l *layer) Dial(to raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	c, err := l.p.dial(l.ctx, string(to), forRaft, timeout)
	if err != nil {
		return nil, err
	}
	return l.track(c)
}

func (l *layer) Addr() net.Addr { return l.addr }

// Close cuts all connections before it returns: nothing that raft says later goes out.
func (l *layer) Close() error {
	l.mu.Lock()
	l.end()
	conns := l.conns
	l.conns = map[*raftConn]struct{}{}
	l.mu.Unlock()
	for c := range conns {
		_ = c.Close()
	}
	return nil
}
