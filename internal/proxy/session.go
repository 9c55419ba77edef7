package proxy

import (
	"context"
	"sync"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/bufconn"
	"coralrelay/internal/dispatch"
	"coralrelay/internal/lifecycle"
	"coralrelay/internal/metrics"
	"coralrelay/internal/mutation"
)

// Request describes what a client asks for. It does not change.
type Request = dispatch.Request

// Observer is notified of a session's end; the dispatcher's event loop is one. Its methods
// must not wait for the session.
type Observer interface {
	// ClientGone is called when the client has left before its answer, or was given up.
	ClientGone(item dispatch.Placement)
	// PlacementEnded is called once for an established session, when nothing is relayed any more.
	PlacementEnded(item dispatch.Placement, outcome balance.Outcome)
}

// answer is a session's final answer, on its way from the dispatcher to the client.
type answer struct {
	line     string        // empty if another process has written it already
	upstream *bufconn.Conn // set if the line is an upstream's UP
	server   string        // and then the upstream's server id
	rejected bool          // without an upstream: the request was rejected rather than failed
}

// Session is one request and, once it is established, the connection between its client
// and an upstream.
type Session struct {
	Request
	RequestEncoder
	Resumption                // nil if the client did not ask for it; set before Run
	Metrics    *metrics.Class // counts the final answer when it is written; nil if nothing counts it

	codec    Codec
	observer Observer
	client   *bufconn.Conn
	readAt   time.Time // when the request was read

	ctx         context.Context // ends when the session is settled
	cancel      context.CancelFunc
	finalAnswer chan answer // buffers the one final answer; closed if the client left before it

	mu           sync.Mutex        // guards what follows
	life         lifecycle.Machine // where the session stands, and what may happen to it
	upstream     *bufconn.Conn     // nil before UP
	server       string            // the upstream's server id
	successor    Successor         // the process to hand the session over to; nil if none
	pendingSince time.Time         // when the oldest unanswered line of the client was sent on; zero if none is pending
	graceUsed    bool              // the grace period for the pending line was granted
}

var _ dispatch.Placement = (*Session)(nil)

// New returns a session for a request that was read from client. It is served by Run.
func New(request Request, encoder RequestEncoder, codec Codec, observer Observer, client *bufconn.Conn) *Session {
	s := &Session{
		Request:        request,
		RequestEncoder: encoder,
		codec:          codec,
		observer:       observer,
		client:         client,
		readAt:         time.Now(),
		finalAnswer:    make(chan answer, 1),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// PlacementRequest returns the request, for the dispatcher.
func (s *Session) PlacementRequest() *dispatch.Request { return &s.Request }

// Context ends when no attempt is needed any more: the client has left, or the final
// answer was given.
func (s *Session) Context() context.Context { return s.ctx }

// settle gives the final answer by an event. It returns false if there is one already, or the client
// has left.
func (s *Session) settle(event lifecycle.Event, final answer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.life.MayAnswer() != lifecycle.None {
		return false
	}
	s.apply(event)
	s.upstream, s.server = final.upstream, final.server
	s.finalAnswer <- final
	s.cancel()
	if final.upstream != nil {
		s.client.InterruptRead() // the client's reader relays lines from now on
	}
	return true
}

// Reject gives the final answer that rejects the request. The client is asked to wait for
// retryAfter, if that is positive. It returns false if the session was settled before.
func (s *Session) Reject(retryAfter time.Duration) bool {
	return s.settle(lifecycle.AnswerChosen, answer{line: s.codec.Busy(retryAfter), rejected: true})
}

// Fail gives the final answer that fails the request. It returns false if the session was
// settled before.
func (s *Session) Fail() bool {
	return s.settle(lifecycle.AnswerChosen, answer{line: s.codec.Failed()})
}

// GiveUp fails a session for which no upstream can be found in the time that is left, as
// during shutdown, and lets the observer forget it. It does nothing to a settled session.
func (s *Session) GiveUp() {
	if s.Fail() {
		s.observer.ClientGone(s)
	}
}

// Establish gives the final answer UP, as the upstream worded it in line. The session owns
// the upstream's connection from then on. If it returns false, the session was settled
// before and the connection stays the caller's.
func (s *Session) Establish(line, server string, upstream *bufconn.Conn) bool {
	return s.settle(lifecycle.UpReceived, answer{line: line, server: server, upstream: upstream})
}

// Migrate asks the client to reconnect. It also takes precedence over a handover that has
// not been offered yet. Before UP it does nothing.
func (s *Session) Migrate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.life.MayMigrate() == lifecycle.None {
		s.apply(lifecycle.MigrationRequested)
		s.upstream.InterruptRead()
	}
}

// clientLeft is called when the client's connection has ended.
func (s *Session) clientLeft() {
	s.mu.Lock()
	unanswered := !s.life.State().HasAnswer()
	if unanswered && mutation.Enabled("client_left") { // its attempts go on
		s.mu.Unlock()
		return
	}
	s.apply(lifecycle.ClientLeft)
	if s.upstream != nil {
		s.upstream.InterruptRead()
	}
	s.mu.Unlock()
	if unanswered {
		s.cancel()
		close(s.finalAnswer)
		s.observer.ClientGone(s)
	}
}

// IsEstablished reports whether the session is up and is neither migrated nor handed over.
func (s *Session) IsEstablished() bool { return s.state() == lifecycle.Established }
