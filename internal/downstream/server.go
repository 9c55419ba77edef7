// Package caller is the clients' side: it listens, answers PING, reads first
// lines and gives each caller leg to its transaction.
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

// Decider takes transactions; each is then owed one final answer. *decide.Core does.
type Dispatcher interface {
	proxy.Observer
	Submit(item dispatch.Placement, b dispatch.AttemptStarter)
	Adopt(item dispatch.Placement, server string) bool // of one that stands there already
}

// Continuities gives a caller that asks for it what lets it go on where it was
// when it is moved; nil if nothing does.
type ResumptionProvider interface {
	Resumption(o *lineproto.ConnectRequest) proxy.Resumption
}

// Limits bound what callers may use.
type Limits struct {
	// Sockets may be in use: one for a caller, one more for its branch. Those that are
	// seen off may use Partings(Sockets) beside them.
	Sockets    int
	RetryAfter time.Duration // asked of callers who are refused unseen; 0 if none may be
	// Elsewhere is how many of them a process beside this one uses; nil where there can
	// be none. It returns at once.
	UsedElsewhere func() int
}

// Server serves callers.
type Server struct {
	Resumptions ResumptionProvider // nil where it is not switched on; set before Serve
	Metrics     *metrics.Registry  // nil if nobody asks; set before Serve

	dispatcher      Dispatcher
	attempts        dispatch.AttemptStarter // to next hops of the line protocol
	limits          Limits
	retryAfter      atomic.Int64 // limits.Pause, which may change
	rejectedLineLog logging.Throttled
	acceptErrorLog  logging.Throttled
	socketFreed     chan struct{} // a leg has ended: there may be room for another

	mu             sync.Mutex
	accepting      bool                    // Serve runs
	draining       bool                    // the node is being emptied
	shuttingDown   bool                    // for good: nothing is taken any more
	rejectUnread   bool                    // and newcomers are seen off unread
	rejectAt       time.Time               // while it is emptied: newcomers get the busy answer from then on
	drainEndAt     time.Time               // of the plan by which it is emptied for good
	cancelLameDuck func()                  // ends the emptying that can be ended; nil without one
	sessions       map[*proxy.Session]bool // whether the decider has it
	clients        map[net.Conn]struct{}
	idle           list.List // of *visitor: have not opened anything, the oldest first
	lingering      list.List // of *visitor: have their last answer and are read out, the oldest first
	lingeringCount int       // these, and those whose read-out was cut short
	wg             sync.WaitGroup
}

// New returns a Server that keeps to the limits.
func New(dispatcher Dispatcher, attempts dispatch.AttemptStarter, limits Limits) *Server {
	s := &Server{dispatcher: dispatcher, attempts: attempts, limits: limits, sessions: map[*proxy.Session]bool{},
		clients: map[net.Conn]struct{}{}, socketFreed: make(chan struct{}, 1)}
	s.SetRetryAfter(limits.RetryAfter)
	return s
}

// SetPause changes what callers who are refused unseen are asked to wait.
func (s *Server) SetRetryAfter(retryAfter time.Duration) { s.retryAfter.Store(int64(retryAfter)) }

// Sockets is how many are in use, or may be.
func (s *Server) SocketsInUse() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.clients) + len(s.sessions)
}

// Open counts the connections that were taken and have not ended.
func (s *Server) OpenSessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// TakesClients tells whether newcomers are welcome.
func (s *Server) AcceptsClients() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepting && !s.draining
}

// Adopt goes on with what another process has handed over. If it is false the
// connections stay the giver's.
func (s *Server) Adopt(state proxy.EstablishedSession, client, upstream net.Conn) bool {
	session := proxy.Inherit(state, lineproto.Codec{}, s.dispatcher, client, upstream)
	session.Metrics = s.Metrics.Class(state.Class)
	s.mu.Lock()
	shuttingDown := s.shuttingDown
	if !shuttingDown {
		s.clients[client] = struct{}{}
		s.sessions[session] = true
		s.wg.Add(1)
	}
	s.mu.Unlock()
	if shuttingDown {
		return false
	}
	if !s.dispatcher.Adopt(session, state.Server) {
		s.mu.Lock()
		delete(s.clients, client)
		delete(s.sessions, session)
		s.mu.Unlock()
		s.wg.Done()
		return false
	}
	go func() {
		defer s.wg.Done()
		session.Run()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.clients, client)
		delete(s.sessions, session)
		s.signalSocketFreed()
	}()
	return true
}
