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

	decider    Dispatcher
	branches   dispatch.AttemptStarter // to next hops of the line protocol
	limits     Limits
	retryAfter atomic.Int64 // limits.Pause, which may change
	bad        logging.Throttled
	failed     logging.Throttled
	freed      chan struct{} // a leg has ended: there may be room for another

	mu       sync.Mutex
	accepts  bool                    // Serve runs
	leaving  bool                    // the node is being emptied
	ended    bool                    // for good: nothing is taken any more
	over     bool                    // and newcomers are seen off unread
	refuseAt time.Time               // while it is emptied: newcomers get the busy answer from then on
	end      time.Time               // of the plan by which it is emptied for good
	rejoined func()                  // ends the emptying that can be ended; nil without one
	running  map[*proxy.Session]bool // whether the decider has it
	legs     map[net.Conn]struct{}
	resting  list.List // of *visitor: have not opened anything, the oldest first
	parting  list.List // of *visitor: have their last answer and are read out, the oldest first
	partings int       // these, and those whose read-out was cut short
	wg       sync.WaitGroup
}

// New returns a Server that keeps to the limits.
func New(d Dispatcher, b dispatch.AttemptStarter, l Limits) *Server {
	s := &Server{decider: d, branches: b, limits: l, running: map[*proxy.Session]bool{},
		legs: map[net.Conn]struct{}{}, freed: make(chan struct{}, 1)}
	s.SetRetryAfter(l.RetryAfter)
	return s
}

// SetPause changes what callers who are refused unseen are asked to wait.
func (s *Server) SetRetryAfter(d time.Duration) { s.retryAfter.Store(int64(d)) }

// Sockets is how many are in use, or may be.
func (s *Server) SocketsInUse() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.legs) + len(s.running)
}

// Open counts the connections that were taken and have not ended.
func (s *Server) OpenSessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.running)
}

// TakesClients tells whether newcomers are welcome.
func (s *Server) AcceptsClients() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepts && !s.leaving
}

// Adopt goes on with what another process has handed over. If it is false the
// connections stay the giver's.
func (s *Server) Adopt(st proxy.EstablishedSession, caller, hop net.Conn) bool {
	t := proxy.Inherit(st, lineproto.Codec{}, s.decider, caller, hop)
	t.Metrics = s.Metrics.Class(st.Class)
	s.mu.Lock()
	ended := s.ended
	if !ended {
		s.legs[caller] = struct{}{}
		s.running[t] = true
		s.wg.Add(1)
	}
	s.mu.Unlock()
	if ended {
		return false
	}
	if !s.decider.Adopt(t, st.Server) {
		s.mu.Lock()
		delete(s.legs, caller)
		delete(s.running, t)
		s.mu.Unlock()
		s.wg.Done()
		return false
	}
	go func() {
		defer s.wg.Done()
		t.Run()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.legs, caller)
		delete(s.running, t)
		s.free()
	}()
	return true
}
