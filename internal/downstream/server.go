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

// component is the component attribute of the package's log lines.
const component = "downstream"

// Dispatcher takes sessions. The event loop of package dispatch implements it.
type Dispatcher interface {
	proxy.Observer
	// Submit takes a session, which must then get exactly one final answer. attempts makes its
	// attempts.
	Submit(item dispatch.Placement, attempts dispatch.AttemptStarter)
	// Adopt takes a session that is already established at server. It returns false if the
	// session's id is in use.
	Adopt(item dispatch.Placement, server string) bool
}

// ResumptionProvider creates the resumptions of clients that request one.
type ResumptionProvider interface {
	// Resumption returns the resumption with which the client of a request can resume after a
	// migration; nil if it cannot resume.
	Resumption(request *lineproto.ConnectRequest) proxy.Resumption
}

// Limits bounds the resources that clients may use.
type Limits struct {
	// Sockets is how many sockets may be in use: one for each client, one more for its upstream.
	// Lingering clients may use LingeringSockets(Sockets) in addition.
	Sockets int
	// RetryAfter is the retry delay sent to clients that are rejected before their request is read;
	// 0 omits it.
	RetryAfter time.Duration
	// UsedElsewhere returns how many of the sockets another process uses; nil if there can be no
	// other process. It must not block.
	UsedElsewhere func() int
}

// Server accepts and serves clients.
type Server struct {
	Resumptions ResumptionProvider // nil if resumption is off; set before Serve
	Metrics     *metrics.Registry  // nil if answers are not counted; set before Serve
	// FreeDescriptors closes descriptors that the process can do without, and returns how many. It
	// is called when an accept fails for lack of a descriptor. It may be nil, and is set before
	// Serve.
	FreeDescriptors func() int

	dispatcher      Dispatcher
	attempts        dispatch.AttemptStarter // for upstreams of the line protocol
	limits          Limits
	retryAfter      atomic.Int64 // Limits.RetryAfter in nanoseconds; may change while serving
	lastAcceptWait  atomic.Int64 // in nanoseconds; see LastAcceptWait
	rejectedLineLog logging.Throttled
	acceptErrorLog  logging.Throttled
	capacitySignal  chan struct{} // holds one signal: a client has ended, or its linger may be interrupted

	mu             sync.Mutex              // guards the fields below, and limits.Sockets
	accepting      bool                    // set when Serve starts, cleared when a permanent drain begins
	draining       bool                    // by LameDuck or permanently
	shuttingDown   bool                    // draining permanently: no session is adopted
	rejectUnread   bool                    // new clients are rejected before their first line is read
	rejectAt       time.Time               // while draining: requests are rejected from then on
	drainEndAt     time.Time               // end of the plan of the permanent drain
	cancelLameDuck func()                  // ends the drain that LameDuck started; nil if there is none
	sessions       map[*proxy.Session]bool // whether the dispatcher has the session
	clients        map[net.Conn]struct{}   // all connections, in any state
	idle           list.List               // of *pendingClient without a first line, oldest first
	lingering      list.List               // of *pendingClient whose input is discarded, oldest first
	lingeringCount int                     // these, and those whose linger was interrupted
	wg             sync.WaitGroup
}

// New returns a Server that keeps within the limits. Attempts for its sessions are made by
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

// SetRetryAfter changes the retry delay sent to clients that are rejected before their request is
// read.
func (s *Server) SetRetryAfter(retryAfter time.Duration) { s.retryAfter.Store(int64(retryAfter)) }

// LastAcceptWait returns how long the client that was accepted last had waited to be accepted,
// since its last byte or, if it had sent nothing, since its connect.
func (s *Server) LastAcceptWait() time.Duration { return time.Duration(s.lastAcceptWait.Load()) }

// SocketsInUse returns how many sockets are in use or reserved: one for each client, and one more
// for the upstream of each session.
func (s *Server) SocketsInUse() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.clients) + len(s.sessions)
}

// OpenSessions returns the number of sessions that were admitted or adopted and have not ended.
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
