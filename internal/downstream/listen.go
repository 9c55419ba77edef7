package downstream

import (
	"errors"
	"net"
	"time"
)

// acceptRetryInterval is the pause after an accept that has failed.
const acceptRetryInterval = 5 * time.Millisecond

// Serve accepts clients until the listener is closed; then it returns nil. While there is
// no capacity for one more it does not accept: newcomers wait in the kernel's backlog.
func (s *Server) Serve(listener net.Listener) error {
	s.mu.Lock()
	s.accepting = true
	s.mu.Unlock()
	for {
		s.awaitCapacity()
		conn, err := listener.Accept()
		switch {
		case err == nil:
			// Added here, so that awaitCapacity counts it.
			client := s.addClient(conn, time.Now().Add(firstLineTimeout))
			s.wg.Go(func() { s.serveClient(client) })
		case errors.Is(err, net.ErrClosed):
			return nil
		default: // out of descriptors all the same: other connections must end first
			s.acceptErrorLog.Warn("accept failed", "component", component, "error", err)
			time.Sleep(acceptRetryInterval)
		}
	}
}

// Close closes every connection that is left and waits for the goroutines that served
// them. The listener must be closed before. After Drain, clients that still linger, such as
// those that were accepted last, have until the end of the plan.
func (s *Server) Close() {
	s.mu.Lock()
	shuttingDown, endAt := s.shuttingDown, s.drainEndAt
	s.mu.Unlock()
	if !shuttingDown {
		s.closeAll()
	} else {
		defer time.AfterFunc(max(time.Until(endAt), minLinger), s.closeAll).Stop()
	}
	s.wg.Wait()
}

// closeAll closes all connections.
func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejectUnread = true
	for conn := range s.clients {
		_ = conn.Close()
	}
}
