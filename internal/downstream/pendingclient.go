package downstream

import (
	"container/list"
	"net"
	"time"

	"coralrelay/internal/bufconn"
)

// pendingClient is a client's connection that has no session. It is idle until its first
// line arrives, or it lingers: it gets its last answer, and its input is discarded.
type pendingClient struct {
	conn        net.Conn
	deadline    time.Time     // for its first line
	element     *list.Element // of Server.idle, then of Server.lingering
	lingers     bool          // it gets its last answer, or has got it
	requestRead bool          // its first line was read to its end; set by its goroutine before it lingers
	evictableAt time.Time     // it may be closed from then on if others wait; zero until it was answered
}

// addClient adds a connection that was accepted. It is idle until the deadline at the latest.
func (s *Server) addClient(conn net.Conn, deadline time.Time) *pendingClient {
	s.mu.Lock()
	defer s.mu.Unlock()
	client := &pendingClient{conn: conn, deadline: deadline}
	s.clients[conn] = struct{}{}
	client.element = s.idle.PushBack(client)
	_ = conn.SetReadDeadline(deadline) // changed only by admit, and to end the wait
	if s.rejectUnread {
		s.evict(client)
	}
	return client
}

// evictLongestIdle evicts the client that has been idle for longest, other than except. It
// reports whether there was one. The lock is held.
func (s *Server) evictLongestIdle(except *pendingClient) bool {
	for element := s.idle.Front(); element != nil; element = element.Next() {
		if client := element.Value.(*pendingClient); client != except {
			s.evict(client)
			return true
		}
	}
	return false
}

// evict makes an idle client linger: its read is interrupted, upon which serveClient gives
// it its last answer. A second call changes nothing. The lock is held.
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

// removeClient removes a connection, with or without a session, that is closed.
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
