package downstream

import (
	"container/list"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"coralrelay/internal/dispatch"
	"coralrelay/internal/lineproto"
	"coralrelay/internal/logging"
	"coralrelay/internal/metrics"
	"coralrelay/internal/proxy"
)

// component is the attribute of the package's log lines.
const component = "downstream"

// Dispatcher takes sessions; the dispatch package's event loop is one.
type Dispatcher interface {
	proxy.Observer
	// Submit takes a session, which is then owed one final answer. Its attempts are made by
	// attempts.
	Submit(item dispatch.Placement, attempts dispatch.AttemptStarter)
	// Adopt takes a session that is established at server already. It returns false if the
	// session's id is in use.
	Adopt(item dispatch.Placement, server string) bool
}

// ResumptionProvider makes the resumptions of clients that ask for one.
type ResumptionProvider interface {
	// Resumption returns what lets the client of a request resume after a migration; nil if
	// nothing does.
	Resumption(request *lineproto.ConnectRequest) proxy.Resumption
}

// Limits bound what clients may use.
type Limits struct {
	// Sockets is how many sockets may be in use: one for a client, one more for its
	// upstream. Lingering clients may use LingeringSockets(Sockets) beside them.
	Sockets int
	// RetryAfter is what clients are asked to wait that are rejected before their request
	// was read; 0 leaves that out.
	RetryAfter time.Duration
	// UsedElsewhere returns how many of the sockets another process uses; nil where there
	// can be none. It returns at once.
	UsedElsewhere func() int
}

// Server serves clients.
type Server struct {
	Resumptions ResumptionProvider // nil where resumption is off; set before Serve
	Metrics     *metrics.Registry  // nil if nothing counts; set before Serve
	// FreeDescriptors gives up descriptors that the process can do without, and returns how many; it is
	// called where an accept fails for want of one. It may be nil, and is set before Serve.
	FreeDescriptors func() int

	dispatcher      Dispatcher
	attempts        dispatch.AttemptStarter // to upstreams of the line protocol
	limits          Limits
	retryAfter      atomic.Int64 // Limits.RetryAfter in nanoseconds, which may change
	lastAcceptWait  atomic.Int64 // in nanoseconds, see LastAcceptWait
	rejectedLineLog logging.Throttled
	acceptErrorLog  logging.Throttled
	capacitySignal  chan struct{} // buffers one signal: a client has ended or may be, there may be capacity

	mu             sync.Mutex              // guards what follows, and limits.Sockets
	accepting      bool                    // Serve runs
	draining       bool                    // by LameDuck or for good
	shuttingDown   bool                    // draining for good: nothing is accepted or adopted any more
	rejectUnread   bool                    // newcomers are rejected before their first line is read
	rejectAt       time.Time               // while draining: newcomers are rejected from then on
	drainEndAt     time.Time               // end of the plan by which the server drains for good
	cancelLameDuck func()                  // ends the drain that LameDuck began; nil without one
	sessions       map[*proxy.Session]bool // whether the dispatcher has it
	clients        map[net.Conn]struct{}   // all connections, whatever their state
	idle           list.List               // of *pendingClient without a first line, the oldest first
	lingering      list.List               // of *pendingClient whose input is discarded, the oldest first
	lingeringCount int                     // these, and those that were cut short
	wg             sync.WaitGroup
}

// New returns a Server that keeps to the limits. Attempts for its sessions are made by
// attempts.
func New(dispatcher Dispatcher, attempts dispatch.AttemptStarter, limits Limits) *Server {
	s := &Server{
		dispatcher:     dispatcher,
		attempts:       attempts,
		limits:         limits,
		sessions:       map[*proxy.Session]bool{},
		clients:        map[net.Conn]struct{}{},
		capacitySignal: make(chan struct{}, 1),
	}
	s.SetRetryAfter(limits.RetryAfter)
	return s
}

// SetRetryAfter changes what clients are asked to wait that are rejected before their
// request was read.
func (s *Server) SetRetryAfter(retryAfter time.Duration) { s.retryAfter.Store(int64(retryAfter)) }

// LastAcceptWait returns how long the client that was accepted last had waited for that since its last byte, or
// since its connect if it had sent nothing.
func (s *Server) LastAcceptWait() time.Duration { return time.Duration(s.lastAcceptWait.Load()) }

// SocketsInUse returns how many sockets are in use, or may be: one for each client, one
// more for the upstream of each session.
func (s *Server) SocketsInUse() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.clients) + len(s.sessions)
}

// OpenSessions returns how many sessions were admitted or adopted and have not ended.
func (s *Server) OpenSessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// AcceptsClients reports whether the server is listening and not draining.
func (s *Server) AcceptsClients() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepting && !s.draining
}
