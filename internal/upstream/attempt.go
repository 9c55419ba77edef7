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
type attempt struct {
	pool     *Pool
	session  *proxy.Session
	endpoint *endpointState
	deadline time.Time
}

// Start starts a branch; it ends with its transaction's context or at the
// deadline, and is told to the watcher.
func (p *Pool) StartAttempt(placement dispatch.Placement, attemptNumber int, server string, deadline time.Time) {
	session := placement.(*proxy.Session) // exchange.Decided brings no others here
	a := &attempt{pool: p, session: session, endpoint: p.lookup(server), deadline: deadline}
	go func() {
		startedAt := time.Now()
		established, outcome, load := a.run()
		latency := time.Since(startedAt)
		if established {
			p.observer.AttemptEstablished(session, attemptNumber, server, latency)
			return
		}
		p.observer.AttemptEnded(session, attemptNumber, server, outcome, latency, load)
	}()
}

// run makes the attempt. Unless it is up, its socket is closed on return. One whose
// transaction is over meanwhile was called off, whatever came of its socket then: its
// caller has left, and that speaks for no next hop. Told as a reset, it could.
func (a *attempt) run() (established bool, outcome balance.Outcome, load balance.LoadReport) {
	if a.endpoint == nil {
		return false, balance.ConnectFailed, balance.EmptyLoadReport
	}
	established, outcome, load = a.connect()
	if !established && a.session.Context().Err() != nil {
		outcome = balance.Cancelled
	}
	return established, outcome, load
}

func (a *attempt) connect() (established bool, outcome balance.Outcome, load balance.LoadReport) {
	conn, err := a.pool.dial(a.session.Context(), a.endpoint.address(), a.deadline)
	if err != nil {
		return false, balance.ConnectFailed, balance.EmptyLoadReport
	}
	buffered := bufconn.New(conn)
	stop := context.AfterFunc(a.session.Context(), func() { _ = conn.Close() })
	established, outcome, load = a.forwardFirstLine(buffered, stop)
	if !established {
		stop()
		buffered.Release()
	}
	return established, outcome, load
}

// offer writes the first line and waits for the answer.
func (a *attempt) forwardFirstLine(conn *bufconn.Conn, stop func() bool) (bool, balance.Outcome, balance.LoadReport) {
	now := time.Now()
	// A dial may take long: what has come meanwhile counts, so it is looked at again just
	// before the first byte. The caller may have left, in a moment in which nobody has
	// closed this socket yet; the next hop may drain; and the deadline, which for what may
	// have run before is no later than the end of its window, may have come.
	if a.session.Context().Err() != nil || !now.Before(a.deadline) ||
		a.session.CurrentServer == "" && !a.endpoint.acceptsSessions(now, a.pool.limits.Load().DrainGrace/2) {
		return false, balance.ConnectFailed, balance.EmptyLoadReport
	}
	if err := conn.WriteLine(a.session.ForwardLine(now, a.deadline), a.deadline); err != nil {
		return false, balance.ConnectFailed, balance.EmptyLoadReport // its last byte was not written
	}
	a.session.Metrics.Forwarded()
	text, err := conn.ReadTextLineBefore(a.deadline)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return false, balance.TimedOut, balance.EmptyLoadReport
	case err != nil:
		return false, balance.Reset, balance.EmptyLoadReport
	}
	reply, load := lineproto.ParseReply(text)
	switch reply {
	case lineproto.Up:
		_ = conn.SetReadDeadline(time.Time{})
		if stop() && a.session.Establish(string(text), a.endpoint.id, conn) {
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
		a.pool.malformedLog.Warn("malformed answer", "nexthop", a.endpoint.id, "line", fmt.Sprintf("%.60q", text))
	}
	return false, balance.Errored, load
}

// dial connects before the deadline, or the limit for connections if that is
// sooner.
func (p *Pool) dial(ctx context.Context, addr string, deadline time.Time) (net.Conn, error) {
	timeout := p.limits.Load().ConnectTimeout
	if connectDeadline := time.Now().Add(timeout); timeout > 0 && connectDeadline.Before(deadline) {
		deadline = connectDeadline
	}
	return p.Dial(ctx, addr, deadline)
}

func dial(ctx context.Context, addr string, deadline time.Time) (net.Conn, error) {
	dialer := net.Dialer{Deadline: deadline, KeepAlive: -1}
	return dialer.DialContext(ctx, "tcp", addr)
}
