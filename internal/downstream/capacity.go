package downstream

import (
	"container/list"
	"net"
	"time"

	"coralrelay/internal/bufconn"
	"coralrelay/internal/proxy"
)

// glance is how long the read-out of one that has its last answer takes at least, also
// when others wait for its socket.
const minLinger = 25 * time.Millisecond

// visitor is a caller's connection that is no transaction: it rests until its first line
// comes, or it parts, which is to have its last answer and to be read out.
type pendingClient struct {
	conn         net.Conn
	deadline     time.Time     // for its first line
	element      *list.Element // among those that rest, then among those that part
	lingersSince time.Time     // when it was told to part; zero if it was not
}

// Partings is how many sockets those may use that are seen off, beside the given ones of
// callers and their branches.
func LingeringSockets(sockets int) int { return max(4, sockets/16) }

// Limit changes how many sockets callers and their branches may use.
func (s *Server) SetSocketLimit(sockets int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits.Sockets = sockets
}

// used counts the sockets of callers and their branches, in both processes where there are
// two, under the lock.
func (s *Server) socketsUsed() int {
	used := len(s.clients) - s.lingeringCount + len(s.sessions)
	if s.limits.UsedElsewhere != nil {
		used += s.limits.UsedElsewhere()
	}
	return used
}

// awaitRoom returns when there is room for one more caller, if need be one that is only
// refused. Who has rested longest makes it; a usual caller sends its line at once.
func (s *Server) awaitCapacity() {
	for wait := s.makeCapacity(); wait > 0; wait = s.makeCapacity() {
		select {
		case <-s.socketFreed:
		case <-time.After(wait):
		}
	}
}

// full returns 0 if there is room for one more caller; else it has somebody make room, and
// returns when to look again. Half of what is kept for partings is left to those that
// admit sends away.
func (s *Server) makeCapacity() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	maxLingering := LingeringSockets(s.limits.Sockets) / 2
	if s.lingeringCount < maxLingering && s.socketsUsed() >= s.limits.Sockets {
		s.evictLongestIdle(nil)
	}
	if s.lingeringCount < maxLingering && s.socketsUsed() < s.limits.Sockets || len(s.clients)-len(s.sessions) < maxLingering {
		return 0
	}
	oldest := s.lingering.Front()
	if oldest == nil {
		return minLinger
	}
	client := oldest.Value.(*pendingClient)
	if remaining := minLinger - time.Since(client.lingersSince); remaining > 0 {
		return remaining
	}
	s.lingering.Remove(oldest)
	_ = client.conn.SetReadDeadline(bufconn.PastDeadline) // what it still sends is not read any more
	return minLinger
}

// hold keeps conn among the legs, as one that rests until the deadline at the latest.
func (s *Server) addClient(conn net.Conn, deadline time.Time) *pendingClient {
	s.mu.Lock()
	defer s.mu.Unlock()
	client := &pendingClient{conn: conn, deadline: deadline}
	s.clients[conn] = struct{}{}
	client.element = s.idle.PushBack(client)
	_ = conn.SetReadDeadline(deadline) // moved only to end the wait
	if s.rejectUnread {
		s.evict(client)
	}
	return client
}

// admit tells whether t, which v has opened, may be served. While the node is emptied
// nobody may, but for who is still sent here because the news is not out.
func (s *Server) admit(session *proxy.Session, client *pendingClient) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !client.lingersSince.IsZero() || s.draining && !time.Now().Before(s.rejectAt) {
		return false
	}
	if s.socketsUsed() >= s.limits.Sockets && (s.lingeringCount >= LingeringSockets(s.limits.Sockets) || !s.evictLongestIdle(client)) {
		return false
	}
	s.idle.Remove(client.element)
	s.sessions[session] = false
	_ = client.conn.SetReadDeadline(time.Time{}) // it can't be told to part any more
	return true
}

// partOldest tells who has rested longest to part, but not but, and whether there is one;
// under the lock.
func (s *Server) evictLongestIdle(except *pendingClient) bool {
	for element := s.idle.Front(); element != nil; element = element.Next() {
		if client := element.Value.(*pendingClient); client != except {
			s.evict(client)
			return true
		}
	}
	return false
}

// part tells a visitor to part: its read ends, and it is seen off. Under the lock; again it
// changes nothing.
func (s *Server) evict(client *pendingClient) {
	if !client.lingersSince.IsZero() {
		return
	}
	s.idle.Remove(client.element)
	client.lingersSince = time.Now()
	client.element = s.lingering.PushBack(client)
	s.lingeringCount++
	_ = client.conn.SetReadDeadline(bufconn.PastDeadline)
}

// letGo forgets a visitor, or the leg that it has become; its connection is closed.
func (s *Server) removeClient(client *pendingClient) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.clients, client.conn)
	s.idle.Remove(client.element)
	if !client.lingersSince.IsZero() {
		s.lingering.Remove(client.element)
		s.lingeringCount--
	}
	s.signalSocketFreed()
}

// free wakes who waits for room.
func (s *Server) signalSocketFreed() {
	select {
	case s.socketFreed <- struct{}{}:
	default:
	}
}
