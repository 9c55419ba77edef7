package upstream

// One attempt of a transaction: a connection, its first line, the answer.

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/bufconn"
	"coralrelay/internal/dispatch"
	"coralrelay/internal/lineproto"
	"coralrelay/internal/proxy"
)

// branch is one attempt of a transaction.
type branch struct {
	hops     *Pool
	t        *proxy.Session
	hop      *hop
	deadline time.Time
}

// Start starts a branch; it ends with its transaction's context or at the
// deadline, and is told to the watcher.
func (h *Pool) StartAttempt(item dispatch.Placement, attempt int, server string, deadline time.Time) {
	t := item.(*proxy.Session) // exchange.Decided brings no others here
	b := &branch{hops: h, t: t, hop: h.get(server), deadline: deadline}
	go func() {
		begun := time.Now()
		up, outcome, load := b.run()
		latency := time.Since(begun)
		if up {
			h.watch.AttemptEstablished(t, attempt, server, latency)
			return
		}
		h.watch.AttemptEnded(t, attempt, server, outcome, latency, load)
	}()
}

// run makes the attempt. Unless it is up, its socket is closed on return. One whose
// transaction is over meanwhile was called off, whatever came of its socket then: its
// caller has left, and that speaks for no next hop. Told as a reset, it could.
func (b *branch) run() (up bool, outcome balance.Outcome, load balance.LoadReport) {
	if b.hop == nil {
		return false, balance.ConnectFailed, balance.EmptyLoadReport
	}
	up, outcome, load = b.attempt()
	if !up && b.t.Context().Err() != nil {
		outcome = balance.Cancelled
	}
	return up, outcome, load
}

func (b *branch) attempt() (up bool, outcome balance.Outcome, load balance.LoadReport) {
	conn, err := b.hops.dial(b.t.Context(), b.hop.address(), b.deadline)
	if err != nil {
		return false, balance.ConnectFailed, balance.EmptyLoadReport
	}
	l := bufconn.New(conn)
	stop := context.AfterFunc(b.t.Context(), func() { _ = conn.Close() })
	up, outcome, load = b.offer(l, stop)
	if !up {
		stop()
		l.Release()
	}
	return up, outcome, load
}

// offer writes the first line and waits for the answer.
func (b *branch) offer(l *bufconn.Conn, stop func() bool) (bool, balance.Outcome, balance.LoadReport) {
	now := time.Now()
	// A dial may take long: what has come meanwhile counts, so it is looked at again just
	// before the first byte. The caller may have left, in a moment in which nobody has
	// closed this socket yet; the next hop may drain; and the deadline, which for what may
	// have run before is no later than the end of its window, may have come.
	if b.t.Context().Err() != nil || !now.Before(b.deadline) ||
		b.t.CurrentServer == "" && !b.hop.mayTake(now, b.hops.limits.Load().DrainGrace/2) {
		return false, balance.ConnectFailed, balance.EmptyLoadReport
	}
	if err := l.WriteLine(b.t.ForwardLine(now, b.deadline), b.deadline); err != nil {
		return false, balance.ConnectFailed, balance.EmptyLoadReport // its last byte was not written
	}
	b.t.Metrics.Forwarded()
	text, err := l.ReadTextLineBefore(b.deadline)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return false, balance.TimedOut, balance.EmptyLoadReport
	case err != nil:
		return false, balance.Reset, balance.EmptyLoadReport
	}
	reply, load := lineproto.ParseReply(text)
	switch reply {
	case lineproto.Up:
		_ = l.SetReadDeadline(time.Time{})
		if stop() && b.t.Establish(string(text), b.hop.id, l) {
			return true, balance.OK, load
		}
		return false, balance.Cancelled, load
	case lineproto.Busy:
		return false, balance.AtCapacity, load
	case lineproto.Bye:
		return false, balance.OK, load
	case lineproto.Moved:
		return false, balance.Cancelled, load
	case lineproto.Malformed:
		b.hops.bad.Warn("malformed answer", "nexthop", b.hop.id, "line", fmt.Sprintf("%.60q", text))
	}
	return false, balance.Errored, load
}

// dial connects before the deadline, or the limit for connections if that is
// sooner.
func (h *Pool) dial(ctx context.Context, addr string, deadline time.Time) (net.Conn, error) {
	connect := h.limits.Load().ConnectTimeout
	if most := time.Now().Add(connect); connect > 0 && most.Before(deadline) {
		deadline = most
	}
	return h.Dial(ctx, addr, deadline)
}

func dial(ctx context.Context, addr string, deadline time.Time) (net.Conn, error) {
	d := net.Dialer{Deadline: deadline, KeepAlive: -1}
	return d.DialContext(ctx, "tcp", addr)
}
