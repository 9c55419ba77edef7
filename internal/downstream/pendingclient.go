package downstream

import (
	"container/list"
	"net"
	"time"

	"coralrelay/internal/bufconn"
)

// pendingClient is a client's connection that has no session. It is idle until its first line
// arrives or it is evicted. A client that lingers gets its last answer, and its input is discarded.
type pendingClient struct {
	conn            net.Conn
	deadline        time.Time     // deadline for its first line
	element         *list.Element // in Server.idle, then in Server.lingering
	lingers         bool          // it is to be sent its last answer, or was sent it
	requestRead     bool          // its first line was read; set by its goroutine before it lingers
	interruptibleAt time.Time     // when other clients may interrupt its linger; zero until it is answered
}

// addClient registers an accepted connection. The client may be idle until the deadline at the
// latest.
func (s *Server) addClient(conn net.Conn, deadline time.Time) *pendingClient {
	s.mu.Lock()
	defer s.mu.Unlock()
	client := &pendingClient{conn: conn, deadline: deadline}
	s.clients[conn] = struct{}{}
	client.element = s.idle.PushBack(client)
	_ = conn.SetReadDeadline(deadline) // changed by admit, for the linger, and to interrupt the read
	if s.rejectUnread {
		s.evict(client)
	}
	return client
}

// evictLongestIdle evicts the client that has been idle for longest, other than except. It reports
// whether there was one. The caller must hold s.mu.
func (s *Server) evictLongestIdle(except *pendingClient) bool {
	for element := s.idle.Front(); element != nil; element = element.Next() {
		if client := element.Value.(*pendingClient); client != except {
			s.evict(client)
			return true
		}
	}
	return false
}

// evict makes an idle client linger: it interrupts the read of serveClient, which then sends the
// last answer. A second call does nothing. The caller must hold s.mu.
func (s *Server) evict(client *pendingClient) {
	if client.lingers {
		return
	}
	s.idle.Remove(client.element)
	client.lingers = true
	client.element = s.lingering.PushBack(client)
	s.lingeringCount++
	_ = client.conn.SetReadDeadline(bufconn.PastDeadline)
}

// removeClient unregisters a closed connection, with or without a session.
func (s *Server) removeClient(client *pendingClient) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.clients, client.conn)
	s.idle.Remove(client.element)
	if client.lingers {
		s.lingering.Remove(client.element)
		s.lingeringCount--
	}
	s.signalCapacity()
}
