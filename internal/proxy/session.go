// Package exchange holds the transaction: the one object in which the caller's
// side and the next hop's side meet. It keeps the promise of one final answer,
// exactly once, and after UP relays lines both ways until either side ends.
package proxy

import (
	"context"
	"sync"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/bufconn"
	"coralrelay/internal/dispatch"
	"coralrelay/internal/metrics"
)

// Request is what a front tells of a transaction when it starts.
type Request = dispatch.Request

// Opening words the first line for a next hop.
type RequestEncoder interface {
	ForwardLine(now, deadline time.Time) string
}

// Notice is what a next hop's line after UP says.
type LineKind int

// The notices.
const (
	LineOther LineKind = iota
	LineLoadReport
	LineMove
	LineBye
)

// Front words what the exchange says to its caller, and reads what passes.
type Codec interface {
	Busy(pause time.Duration) string
	Failed() string
	Move() string
	Classify(line []byte) LineKind
}

// Continuity lets a caller that is moved go on where it was. A transaction whose
// caller did not ask for it has none.
type Resumption interface {
	// Begin returns the line that starts the stream at a next hop which answered
	// with up; empty if it takes none. It may wait, but not beyond ctx.
	StartLine(ctx context.Context, up string) string
	// Passed is told each line of the next hop, before the caller is sent it.
	Observe(line []byte)
	// Ticket returns what the caller is to bring along; empty if nothing. All that
	// was passed has been written, or will be before it.
	Token() string
}

// End is how a connection that stood has ended.
type EndReason int

// The ends.
const (
	EndServed         EndReason = iota // the next hop said so
	EndMigrated                        // the caller was asked to come again, by either of us
	EndUpstreamClosed                  // the next hop broke it off
	EndUpstreamSilent                  // the next hop stopped answering, or says what is no line
	EndClientClosed                    // the caller ended it
	EndHandedOver                      // another process goes on with it
)

// outcome is what the module is told of it.
func (r EndReason) outcome() balance.Outcome {
	switch r {
	case EndServed:
		return balance.OK
	case EndUpstreamClosed, EndUpstreamSilent:
		return balance.Reset
	}
	return balance.Cancelled
}

// Watcher is told what becomes of a transaction, as decide.Core has it. Its methods
// must not wait for the transaction.
type Observer interface {
	ClientGone(item dispatch.Placement)                              // while it waited for its answer, or was turned away meanwhile
	PlacementEnded(item dispatch.Placement, outcome balance.Outcome) // after UP; nothing passes any more
}

// answer is what the deciding side hands to the caller's side.
type answer struct {
	line     string        // empty where another process has given it
	upstream *bufconn.Conn // set if the line is a next hop's UP
	server   string        // and then: whose
	rejected bool          // else: it refuses rather than fails
}

// Transaction is one request and the connection it becomes.
type Session struct {
	Request
	RequestEncoder
	Resumption                // nil if its caller did not ask for it
	Metrics    *metrics.Class // counts its answer as written; nil if nobody asks

	codec    Codec
	observer Observer
	client   *bufconn.Conn

	ctx         context.Context // ends when the caller has left or is answered
	cancel      context.CancelFunc
	finalAnswer chan answer // holds the one final answer

	mu              sync.Mutex
	settled         bool          // a final answer was given, or the caller has left
	clientGone      bool          // the caller has left
	upstream        *bufconn.Conn // after UP
	server          string        // and whose it is
	successor       Successor     // who is to go on with it; nil if nobody
	handoverOffered bool          // it has been asked
	migrating       bool          // a MOVE is wanted
	clientClosing   bool          // the caller leg is about to be closed
	pendingSince    time.Time     // when the oldest unanswered line of the caller went on
	graceUsed       bool          // it was found missing, and is looked for once more
}

// New returns a transaction for a request that came on the caller leg.
func New(request Request, encoder RequestEncoder, codec Codec, observer Observer, client *bufconn.Conn) *Session {
	s := &Session{Request: request, RequestEncoder: encoder, codec: codec, observer: observer, client: client, finalAnswer: make(chan answer, 1)}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// Asked is the request, for the deciding side.
func (s *Session) PlacementRequest() *dispatch.Request { return &s.Request }

// Context ends when no branch is wanted any more: the caller has left, or the
// final answer was given.
func (s *Session) Context() context.Context { return s.ctx }

// settle gives the final answer, unless there is one or the caller has left.
func (s *Session) settle(a answer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.settled {
		return false
	}
	s.settled = true
	s.upstream, s.server = a.upstream, a.server
	s.finalAnswer <- a
	s.cancel()
	if a.upstream != nil {
		s.client.InterruptRead() // its reader has lines to pass on from now
	}
	return true
}

// Refuse gives the busy answer.
func (s *Session) Reject(pause time.Duration) bool {
	return s.settle(answer{line: s.codec.Busy(pause), rejected: true})
}

// Fail gives the answer that promises nothing.
func (s *Session) Fail() bool { return s.settle(answer{line: s.codec.Failed()}) }

// GiveUp answers a caller for whom nobody can find a next hop in the time that is left, as
// when the node ends, with what promises nothing; the deciding side forgets it.
func (s *Session) GiveUp() {
	if s.Fail() {
		s.observer.ClientGone(s)
	}
}

// Up hands over a server's UP line and its leg, which now belongs to the
// exchange. It is false if the transaction is over; the leg then stays with
// the branch.
func (s *Session) Establish(line, server string, upstream *bufconn.Conn) bool {
	return s.settle(answer{line: line, server: server, upstream: upstream})
}

// Move asks the caller to come again, also where it was to be handed over and has not
// been offered yet. Before UP it does nothing.
func (s *Session) Migrate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.upstream != nil && !s.handoverOffered {
		s.migrating = true
		s.upstream.InterruptRead()
	}
}

// leave is called when the caller's leg has ended.
func (s *Session) clientLeft() {
	s.mu.Lock()
	first := !s.settled
	s.settled, s.clientGone = true, true
	if s.upstream != nil {
		s.upstream.InterruptRead()
	}
	s.mu.Unlock()
	if first {
		s.cancel()
		close(s.finalAnswer)
		s.observer.ClientGone(s)
	}
}

// Standing tells whether the connection is up, and nobody has asked its caller to go.
func (s *Session) IsEstablished() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.upstream != nil && !s.migrating && s.successor == nil
}
