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
	EndMoved                           // the caller was asked to come again, by either of us
	EndUpstreamClosed                  // the next hop broke it off
	EndUpstreamSilent                  // the next hop stopped answering, or says what is no line
	EndClientClosed                    // the caller ended it
	EndHandedOver                      // another process goes on with it
)

// outcome is what the module is told of it.
func (e EndReason) outcome() balance.Outcome {
	switch e {
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
	line string        // empty where another process has given it
	hop  *bufconn.Conn // set if the line is a next hop's UP
	from string        // and then: whose
	busy bool          // else: it refuses rather than fails
}

// Transaction is one request and the connection it becomes.
type Session struct {
	Request
	RequestEncoder
	Resumption                // nil if its caller did not ask for it
	Metrics    *metrics.Class // counts its answer as written; nil if nobody asks

	front  Codec
	watch  Observer
	caller *bufconn.Conn

	ctx    context.Context // ends when the caller has left or is answered
	cancel context.CancelFunc
	final  chan answer // holds the one final answer

	mu      sync.Mutex
	settled bool          // a final answer was given, or the caller has left
	gone    bool          // the caller has left
	hop     *bufconn.Conn // after UP
	server  string        // and whose it is
	heir    Successor     // who is to go on with it; nil if nobody
	offered bool          // it has been asked
	moving  bool          // a MOVE is wanted
	closing bool          // the caller leg is about to be closed
	pending time.Time     // when the oldest unanswered line of the caller went on
	looked  bool          // it was found missing, and is looked for once more
}

// New returns a transaction for a request that came on the caller leg.
func New(r Request, o RequestEncoder, f Codec, w Observer, caller *bufconn.Conn) *Session {
	t := &Session{Request: r, RequestEncoder: o, front: f, watch: w, caller: caller, final: make(chan answer, 1)}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	return t
}

// Asked is the request, for the deciding side.
func (t *Session) PlacementRequest() *dispatch.Request { return &t.Request }

// Context ends when no branch is wanted any more: the caller has left, or the
// final answer was given.
func (t *Session) Context() context.Context { return t.ctx }

// settle gives the final answer, unless there is one or the caller has left.
func (t *Session) settle(a answer) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.settled {
		return false
	}
	t.settled = true
	t.hop, t.server = a.hop, a.from
	t.final <- a
	t.cancel()
	if a.hop != nil {
		t.caller.InterruptRead() // its reader has lines to pass on from now
	}
	return true
}

// Refuse gives the busy answer.
func (t *Session) Reject(pause time.Duration) bool {
	return t.settle(answer{line: t.front.Busy(pause), busy: true})
}

// Fail gives the answer that promises nothing.
func (t *Session) Fail() bool { return t.settle(answer{line: t.front.Failed()}) }

// GiveUp answers a caller for whom nobody can find a next hop in the time that is left, as
// when the node ends, with what promises nothing; the deciding side forgets it.
func (t *Session) GiveUp() {
	if t.Fail() {
		t.watch.ClientGone(t)
	}
}

// Up hands over a server's UP line and its leg, which now belongs to the
// exchange. It is false if the transaction is over; the leg then stays with
// the branch.
func (t *Session) Establish(line, server string, hop *bufconn.Conn) bool {
	return t.settle(answer{line: line, from: server, hop: hop})
}

// Move asks the caller to come again, also where it was to be handed over and has not
// been offered yet. Before UP it does nothing.
func (t *Session) Migrate() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.hop != nil && !t.offered {
		t.moving = true
		t.hop.InterruptRead()
	}
}

// leave is called when the caller's leg has ended.
func (t *Session) leave() {
	t.mu.Lock()
	first := !t.settled
	t.settled, t.gone = true, true
	if t.hop != nil {
		t.hop.InterruptRead()
	}
	t.mu.Unlock()
	if first {
		t.cancel()
		close(t.final)
		t.watch.ClientGone(t)
	}
}

// Standing tells whether the connection is up, and nobody has asked its caller to go.
func (t *Session) IsEstablished() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hop != nil && !t.moving && t.heir == nil
}
