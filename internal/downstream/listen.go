package downstream

import (
	"errors"
	"net"
	"time"
)

// Serve accepts callers until the listener is closed. While there is no room for one more
// it does not accept: those who come wait in the kernel's backlog.
func (s *Server) Serve(listener net.Listener) error {
	s.mu.Lock()
	s.accepting = true
	s.mu.Unlock()
	for {
		s.awaitCapacity()
		conn, err := listener.Accept()
		switch {
		case err == nil:
			client := s.addClient(conn, time.Now().Add(firstLineTimeout)) // here, so that it counts when room is looked for
			s.wg.Go(func() { s.serveClient(client) })
		case errors.Is(err, net.ErrClosed):
			return nil
		default: // out of descriptors all the same: others must end first
			s.acceptErrorLog.Warn("accept", "err", err)
			time.Sleep(5 * time.Millisecond)
		}
	}
}

// Close ends every leg that is left and waits for the goroutines that served them. The
// listener must be closed before. After Drain, those that are seen off, as who was accepted
// last, have until the plan's end for it.
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

// cut closes all legs.
func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejectUnread = true
	for conn := range s.clients {
		_ = conn.Close()
	}
}
