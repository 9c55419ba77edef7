package replog

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	maxHandshakes = 32  // concurrent; one more closes the oldest
	maxConns      = 256 // accepted connections of peers that hold the key

	// acceptRetryDelay is the pause after a failed Accept.
	acceptRetryDelay = 20 * time.Millisecond
)

// transport accepts and dials all connections between members: those of raft, of followers and
// for single requests. It listens on the only port that the package uses.
type transport struct {
	net.Listener
	key     []byte
	localIP net.IP // source address of outgoing connections

	mu          sync.Mutex
	handshaking []net.Conn // oldest first
	conns       map[net.Conn]struct{}
	serving     sync.WaitGroup
}

// connHandler serves a connection according to its purpose, until it is no longer needed.
type connHandler func(purpose connPurpose, conn *sealedConn)

// newTransport opens the listener on options.Bind.
func newTransport(options *Options) (*transport, error) {
	listener, err := net.Listen("tcp", options.Bind)
	if err != nil {
		return nil, &OptionError{Key: "fleet.record.bind", Err: err}
	}
	return &transport{
		Listener: listener,
		key:      options.Key,
		localIP:  listener.Addr().(*net.TCPAddr).IP,
		conns:    map[net.Conn]struct{}{},
	}, nil
}

// serve accepts connections and serves each in its own goroutine until ctx ends. It then
// closes all connections, and returns after the last handler has.
func (t *transport) serve(ctx context.Context, handle connHandler) error {
	stop := context.AfterFunc(ctx, t.closeAll)
	defer stop()
	defer t.serving.Wait()
	for {
		conn, err := t.Accept()
		if ctx.Err() != nil {
			if err == nil {
				_ = conn.Close()
			}
			return nil
		}
		if err != nil { // caused by a client or by too many open files: keep listening
			select {
			case <-time.After(acceptRetryDelay):
			case <-ctx.Done():
			}
			continue
		}
		t.addHandshake(conn)
		t.serving.Go(func() { t.serveConn(ctx, conn, handle) })
	}
}

// closeAll closes the listener and all accepted connections.
func (t *transport) closeAll() {
	_ = t.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	for conn := range t.conns {
		_ = conn.Close()
	}
	for _, conn := range t.handshaking {
		_ = conn.Close()
	}
}

// addHandshake registers a connection whose peer has not yet proven that it holds the key.
func (t *transport) addHandshake(conn net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.handshaking) >= maxHandshakes {
		_ = t.handshaking[0].Close()
		t.handshaking = t.handshaking[1:]
	}
	t.handshaking = append(t.handshaking, conn)
}

// removeHandshake unregisters a connection after its handshake. The caller holds mu.
func (t *transport) removeHandshake(conn net.Conn) {
	for i := range t.handshaking {
		if t.handshaking[i] == conn {
			t.handshaking = append(t.handshaking[:i:i], t.handshaking[i+1:]...)
			break
		}
	}
}

// serveConn serves a connection if its peer holds the key. Until its first frame is opened, a
// peer costs no more than the derivation of this connection's keys, and it is disconnected
// after handshakeTimeout.
func (t *transport) serveConn(ctx context.Context, conn net.Conn, handle connHandler) {
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	sealed, err := handshake(conn, t.key, false)
	var purpose [1]byte
	if err == nil {
		_, err = sealed.Read(purpose[:])
	}
	t.mu.Lock()
	t.removeHandshake(conn)
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
	handle(connPurpose(purpose[0]), sealed)
}

// dial connects to a member. The timeout applies to connecting, and again to the handshake.
func (t *transport) dial(
	ctx context.Context, addr string, purpose connPurpose, timeout time.Duration,
) (*sealedConn, error) {
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
		_, err = sealed.Write([]byte{byte(purpose)})
	}
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("%s: %w", addr, err)
	}
	_ = conn.SetDeadline(time.Time{})
	return sealed, nil
}
