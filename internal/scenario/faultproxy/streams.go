package faultproxy

import (
	"context"
	"net"
	"sync"
	"time"
)

// connectTimeout is how long a party may take to accept a stream.
const connectTimeout = time.Second

// accept forwards the streams of a listener until it is closed.
func (p *Proxy) accept(l *listener, tcpListener net.Listener) {
	for {
		conn, err := tcpListener.Accept()
		if err != nil {
			return
		}
		from, ok := l.client, true
		if from == "" {
			from, ok = p.partyAt(conn.RemoteAddr().(*net.TCPAddr).AddrPort().Addr())
		}
		if !ok {
			_ = conn.Close()
			continue
		}
		select {
		case l.slots <- struct{}{}:
		default:
			_ = conn.Close()
			continue
		}
		p.wg.Go(func() {
			defer func() { <-l.slots }()
			p.forwardStream(conn, from, l)
		})
	}
}

// forwardStream forwards a stream in both directions until either side ends it. The kernel has already
// accepted the client's connection, which can't be prevented, so a cut only affects what follows: the
// client sees an established connection without any data. Its timeout for a first line or a health
// check expires, but never its connect timeout.
func (p *Proxy) forwardStream(conn net.Conn, from string, l *listener) {
	ctx, cancel := context.WithCancel(p.ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { reset(conn) })
	defer stop()
	defer func() { _ = conn.Close() }()
	link := pair{from, l.party.name}
	if !p.waitForHandshake(ctx, link) {
		return
	}
	target, err := (&net.Dialer{Timeout: connectTimeout}).DialContext(ctx, "tcp", l.target)
	if err != nil {
		reset(conn)
		return
	}
	defer func() { _ = target.Close() }()
	stopTarget := context.AfterFunc(ctx, func() { reset(target) })
	defer stopTarget()
	var directions sync.WaitGroup
	for _, d := range []direction{{conn, target, link}, {target, conn, link.reversed()}} {
		directions.Go(func() {
			if !p.forwardDirection(ctx, d) {
				cancel() // if this direction ended normally, the other may still have an answer to forward
			}
		})
	}
	directions.Wait()
}

// reset closes a connection with a TCP reset, so that the peer does not take it for a normal end.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// waitForHandshake waits as long as a TCP handshake would take. The first segment and its answer go in
// opposite directions, so that a cut of either direction delays the handshake. It returns false after
// any such cut, even one that has been healed, because the client has given up by then.
func (p *Proxy) waitForHandshake(ctx context.Context, link pair) bool {
	for _, segment := range []pair{link, link.reversed()} {
		if waited, ok := p.waitWhileCut(ctx, segment); waited || !ok {
			return false
		}
		if result := p.drawStreamOutcome(segment, 0); !sleep(ctx, result.delay) {
			return false
		}
	}
	return true
}

// sleep waits for d or until ctx ends. It returns false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
