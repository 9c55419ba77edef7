package faultproxy

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// connecting is how long a party may take to accept.
	connectTimeout = time.Second
	// underWay bounds what one direction of a stream has on its way, in reads of at most
	// chunk bytes; more is not read until some has arrived.
	maxChunksInFlight = 64
	chunkSize         = 16 << 10
)

func (r *Proxy) accept(d *listener, l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		from, ok := d.client, true
		if from == "" {
			from, ok = r.partyAt(conn.RemoteAddr().(*net.TCPAddr).AddrPort().Addr())
		}
		if !ok {
			_ = conn.Close()
			continue
		}
		select {
		case d.slots <- struct{}{}:
		default:
			_ = conn.Close()
			continue
		}
		r.wg.Go(func() {
			defer func() { <-d.slots }()
			r.forwardStream(conn, from, d)
		})
	}
}

// stream passes a connection on, both ways, until either side ends it. The kernel has
// answered the caller by now, as nobody can keep it from that; what a cut takes away is all
// that would come after. A caller sees his connection made and then silence: the patience of
// a first line or a probe runs out, never that of a connect.
func (r *Proxy) forwardStream(conn net.Conn, from string, d *listener) {
	ctx, cancel := context.WithCancel(r.ctx)
	defer cancel()
	end := func(c net.Conn) { // as it ended on the other side: not as if all had been said
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	stop := context.AfterFunc(ctx, func() { end(conn) })
	defer stop()
	defer func() { _ = conn.Close() }()
	if !r.waitForHandshake(ctx, from, d.party.name) {
		return
	}
	other, err := (&net.Dialer{Timeout: connectTimeout}).DialContext(ctx, "tcp", d.target)
	if err != nil {
		end(conn)
		return
	}
	defer func() { _ = other.Close() }()
	stopOther := context.AfterFunc(ctx, func() { end(other) })
	defer stopOther()
	var both sync.WaitGroup
	for _, w := range []direction{{conn, other, from, d.party.name}, {other, conn, d.party.name, from}} {
		both.Go(func() {
			if !r.forwardDirection(ctx, w) {
				cancel() // else the other direction may still have an answer to carry
			}
		})
	}
	both.Wait()
}

// made waits as a connection waits that is being made: its first segment goes one way and
// the answer the other, so that a cut of either holds it up. It is false where a cut did, and
// has healed: who waited so long has given up.
func (r *Proxy) waitForHandshake(ctx context.Context, from, to string) bool {
	for _, pair := range [][2]string{{from, to}, {to, from}} {
		if held, ok := r.waitWhileCut(ctx, pair[0], pair[1]); held || !ok {
			return false
		}
		if _, delay := r.drawFate(pair[0], pair[1], 0, false); !sleep(ctx, delay) {
			return false
		}
	}
	return true
}

// way is one direction of a stream.
type direction struct {
	in, out  net.Conn
	from, to string
}

// piece is what was read at once; without bytes it is the direction's end.
type chunk struct {
	dueAt time.Time
	bytes []byte
}

// carry copies one direction until it ends, and tells the other end so; it is false where
// the stream broke.
func (r *Proxy) forwardDirection(ctx context.Context, w direction) bool {
	ctx, cancel := context.WithCancel(ctx)
	pieces := make(chan chunk, maxChunksInFlight)
	read := make(chan bool, 1)
	go func() {
		defer close(pieces)
		read <- r.readChunks(ctx, w, pieces)
	}()
	wrote := writeChunks(ctx, w.out, pieces)
	if !wrote {
		_ = w.in.SetReadDeadline(time.Now()) // nobody waits for what it says any more
	}
	cancel()
	return <-read && wrote
}

// read takes what comes, each piece with the time at which it is due, in its order.
func (r *Proxy) readChunks(ctx context.Context, w direction, pieces chan<- chunk) bool {
	var due time.Time // of the piece before
	for {
		buf := make([]byte, chunkSize)
		n, err := w.in.Read(buf)
		if n > 0 || errors.Is(err, io.EOF) {
			copies, delay := r.drawFate(w.from, w.to, n, false)
			if copies == 0 {
				// What is lost here does not come again: shown when the cut heals.
				_, _ = r.waitWhileCut(ctx, w.from, w.to)
				return false
			}
			if at := time.Now().Add(delay); at.After(due) {
				due = at
			}
			select {
			case pieces <- chunk{due, buf[:n]}:
			case <-ctx.Done():
				return false
			}
		}
		if err != nil {
			return errors.Is(err, io.EOF)
		}
	}
}

// write lets pieces arrive when they are due, until there are no more.
func writeChunks(ctx context.Context, out net.Conn, pieces <-chan chunk) bool {
	for p := range pieces {
		if !sleep(ctx, time.Until(p.dueAt)) {
			return false
		}
		if len(p.bytes) > 0 {
			if _, err := out.Write(p.bytes); err != nil {
				return false
			}
			continue
		}
		half, ok := out.(*net.TCPConn)
		return ok && half.CloseWrite() == nil
	}
	return true // the reader tells whether that was its end
}

// sleep waits, but not beyond ctx; it is false if ctx ended first.
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
