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

// Request describes what a client requests. It is immutable.
type Request = dispatch.Request

// Observer is notified of a session's end. The dispatcher's event loop implements it. Its methods
// must not wait for the session.
type Observer interface {
	// ClientGone is called when the client has disconnected before its answer, or the session was
	// given up.
	ClientGone(item dispatch.Placement)
	// PlacementEnded is called once for an established session, when its relay has ended.
	PlacementEnded(item dispatch.Placement, outcome balance.Outcome)
}

// answer is a session's final answer, passed from the dispatcher to Run.
type answer struct {
	line     string        // empty if another process has already written it
	upstream *bufconn.Conn // set if the line is an upstream's UP
	server   string        // the upstream's server id, if upstream is set
	rejected bool          // if upstream is nil: the request was rejected rather than failed
}

// Session is one request and, once it is established, the connection between its client and an
// upstream.
type Session struct {
	Request
	RequestEncoder
	Resumption                // nil if the client did not request it; set before Run
	Metrics    *metrics.Class // counts the final answer when it is written; nil if it is not counted

	codec    Codec
	observer Observer
	client   *bufconn.Conn
	readAt   time.Time // when the request was read

	ctx         context.Context // cancelled when the session is settled
	cancel      context.CancelFunc
	finalAnswer chan answer // buffers the final answer; closed if the client disconnected before it

	mu           sync.Mutex        // guards the fields below
	machine      lifecycle.Machine // the session's state machine
	upstream     *bufconn.Conn     // nil before UP
	server       string            // the upstream's server id
	successor    Successor         // the process to hand the session over to; nil if none
	pendingSince time.Time         // relay time of the oldest unanswered client line, or zero
	graceUsed    bool              // the grace period for the pending line was granted
}

var _ dispatch.Placement = (*Session)(nil)

// New returns a session for a request that was read from client. Run serves it.
func New(request Request, encoder RequestEncoder, codec Codec, observer Observer,
	client *bufconn.Conn) *Session {
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

// Context returns a context that is cancelled when no attempt is needed any more: the client has
// disconnected, or the final answer was given.
func (s *Session) Context() context.Context { return s.ctx }

// settle applies an event that gives the final answer. It returns false if there is an answer
// already, or the client has disconnected.
func (s *Session) settle(event lifecycle.Event, final answer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.machine.MayAnswer() != lifecycle.None {
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
// retryAfter before it retries, if that is positive. Reject returns false if the session was
// already settled.
func (s *Session) Reject(retryAfter time.Duration) bool {
	return s.settle(lifecycle.AnswerChosen, answer{line: s.codec.Busy(retryAfter), rejected: true})
}

// Fail gives the final answer that fails the request. It returns false if the session was already
// settled.
func (s *Session) Fail() bool {
	return s.settle(lifecycle.AnswerChosen, answer{line: s.codec.Failed()})
}

// GiveUp fails a session for which no upstream can be found in the remaining time, as during a
// shutdown, and notifies the observer. It does nothing if the session is settled.
func (s *Session) GiveUp() {
	if s.Fail() {
		s.observer.ClientGone(s)
	}
}

// Establish gives the final answer UP, with line as the upstream sent it. The session owns the
// upstream's connection from then on. If Establish returns false, the session was already settled
// and the caller still owns the connection.
func (s *Session) Establish(line, server string, upstream *bufconn.Conn) bool {
	return s.settle(lifecycle.UpReceived, answer{line: line, server: server, upstream: upstream})
}

// Migrate asks the client to reconnect. It takes precedence over a handover that has not been
// offered to the successor yet. It does nothing before UP.
func (s *Session) Migrate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.machine.MayMigrate() == lifecycle.None {
		s.apply(lifecycle.MigrationRequested)
		s.upstream.InterruptRead()
	}
}

// clientLeft handles the end of the client's connection.
func (s *Session) clientLeft() {
	s.mu.Lock()
	unanswered := !s.machine.State().HasAnswer()
	if unanswered && mutation.Enabled("client_left") { // the attempts of the session continue
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

// IsEstablished reports whether the session is established and neither being migrated nor handed
// over.
func (s *Session) IsEstablished() bool { return s.state() == lifecycle.Established }
