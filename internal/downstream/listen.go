package downstream

import (
	"errors"
	"net"
	"time"

	"coralrelay/internal/bufconn"
	"coralrelay/internal/neterr"
)

// acceptRetryInterval is the pause after a failed accept.
const acceptRetryInterval = 5 * time.Millisecond

// Serve accepts clients until the listener is closed; then it returns nil. While there is no
// capacity for one more client, it does not accept, and new connections wait in the kernel's accept
// queue. If there is no descriptor for one more client, new clients are rejected immediately.
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
			s.rejectUsingSpare(conn)
			spare.acquire()
		case err == nil:
			s.lastAcceptWait.Store(int64(bufconn.SinceLastArrival(conn)))
			// The client is registered before its goroutine starts, so that awaitCapacity counts
			// it.
			client := s.addClient(conn, time.Now().Add(firstLineTimeout))
			s.wg.Go(func() { s.serveClient(client) })
		case errors.Is(err, net.ErrClosed):
			return nil
		case neterr.IsExhausted(err) && s.FreeDescriptors != nil && s.FreeDescriptors() > 0:
		default: // other connections must be closed first
			s.acceptErrorLog.Warn("accept failed", "component", component, "error", err)
			if neterr.IsExhausted(err) && !s.evictForDescriptor() && spare.release() {
				continue // the released descriptor serves to accept and reject one client at a time
			}
			time.Sleep(acceptRetryInterval)
		}
	}
}

// evictForDescriptor evicts the client that has been idle for longest, to free a descriptor for a
// client that waits to be accepted. If no client is idle, or the maximum number of clients already
// linger, it interrupts the linger of the client that has lingered for longest. It reports whether
// there was an idle or lingering client.
func (s *Server) evictForDescriptor() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lingeringCount < LingeringSockets(s.limits.Sockets) && s.evictLongestIdle(nil) {
		return true
	}
	s.interruptLongestLingering()
	return s.lingeringCount > 0
}

// Close ends all remaining connections and waits for the goroutines that serve them. The listener
// must be closed first. After Drain, clients that still linger, such as those that were accepted
// last, have until the end of the plan. Without Drain, all unanswered clients get their last answer
// now.
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

// closeAll closes all client connections.
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
