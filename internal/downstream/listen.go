package downstream

import (
	"errors"
	"net"
	"time"

	"coralrelay/internal/bufconn"
	"coralrelay/internal/neterr"
)

// acceptRetryInterval is the pause after an accept that has failed.
const acceptRetryInterval = 5 * time.Millisecond

// Serve accepts clients until the listener is closed; then it returns nil. While there is
// no capacity for one more it does not accept: newcomers wait in the kernel's backlog. Where there is no
// descriptor for one more, they are rejected at once.
func (s *Server) Serve(listener net.Listener) error {
	spare := &spareDescriptor{}
	spare.acquire()
	defer spare.release()
	s.mu.Lock()
	s.accepting = true
	s.mu.Unlock()
	for {
		s.awaitCapacity()
		conn, err := listener.Accept()
		switch {
		case err == nil && !spare.acquire():
			s.rejectAtOnce(conn)
			spare.acquire()
		case err == nil:
			s.lastAcceptWait.Store(int64(bufconn.SinceLastArrival(conn)))
			// Added here, so that awaitCapacity counts it.
			client := s.addClient(conn, time.Now().Add(firstLineTimeout))
			s.wg.Go(func() { s.serveClient(client) })
		case errors.Is(err, net.ErrClosed):
			return nil
		case neterr.IsExhausted(err) && s.FreeDescriptors != nil && s.FreeDescriptors() > 0:
		default: // other connections must end first
			s.acceptErrorLog.Warn("accept failed", "component", component, "error", err)
			if neterr.IsExhausted(err) && !s.evictForDescriptor() && spare.release() {
				continue // one client at a time is accepted, and rejected
			}
			time.Sleep(acceptRetryInterval)
		}
	}
}

// evictForDescriptor has the client that has been idle for longest make way for one that waits to be
// accepted, unless as many linger already as may; then, or if none is idle, the one that has lingered for longest. It
// reports whether there was one to make way.
func (s *Server) evictForDescriptor() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lingeringCount < LingeringSockets(s.limits.Sockets) && s.evictLongestIdle(nil) {
		return true
	}
	s.cutLingering()
	return s.lingeringCount > 0
}

// Close ends every connection that is left and waits for the goroutines that served
// them. The listener must be closed before. After Drain, clients that still linger, such as
// those that were accepted last, have until the end of the plan; without it, all that are unanswered
// get their last answer now.
func (s *Server) Close() {
	s.mu.Lock()
	shuttingDown, endAt := s.shuttingDown, s.drainEndAt
	s.mu.Unlock()
	if !shuttingDown {
		s.rejectRemaining()
		endAt = time.Now().Add(finalAnswerTime)
	}
	defer time.AfterFunc(max(time.Until(endAt), minLinger), s.closeAll).Stop()
	s.wg.Wait()
}

// closeAll closes all connections.
func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejectUnread = true
	for session := range s.sessions {
		session.AuditClose()
	}
	for conn := range s.clients {
		_ = conn.Close()
	}
}
