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
const glance = 25 * time.Millisecond

// visitor is a caller's connection that is no transaction: it rests until its first line
// comes, or it parts, which is to have its last answer and to be read out.
type visitor struct {
	conn     net.Conn
	deadline time.Time     // for its first line
	place    *list.Element // among those that rest, then among those that part
	since    time.Time     // when it was told to part; zero if it was not
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
func (s *Server) used() int {
	n := len(s.legs) - s.partings + len(s.running)
	if s.limits.UsedElsewhere != nil {
		n += s.limits.UsedElsewhere()
	}
	return n
}

// awaitRoom returns when there is room for one more caller, if need be one that is only
// refused. Who has rested longest makes it; a usual caller sends its line at once.
func (s *Server) awaitRoom() {
	for wait := s.full(); wait > 0; wait = s.full() {
		select {
		case <-s.freed:
		case <-time.After(wait):
		}
	}
}

// full returns 0 if there is room for one more caller; else it has somebody make room, and
// returns when to look again. Half of what is kept for partings is left to those that
// admit sends away.
func (s *Server) full() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := LingeringSockets(s.limits.Sockets) / 2
	if s.partings < most && s.used() >= s.limits.Sockets {
		s.partOldest(nil)
	}
	if s.partings < most && s.used() < s.limits.Sockets || len(s.legs)-len(s.running) < most {
		return 0
	}
	oldest := s.parting.Front()
	if oldest == nil {
		return glance
	}
	v := oldest.Value.(*visitor)
	if left := glance - time.Since(v.since); left > 0 {
		return left
	}
	s.parting.Remove(oldest)
	_ = v.conn.SetReadDeadline(bufconn.PastDeadline) // what it still sends is not read any more
	return glance
}

// hold keeps conn among the legs, as one that rests until the deadline at the latest.
func (s *Server) hold(conn net.Conn, deadline time.Time) *visitor {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := &visitor{conn: conn, deadline: deadline}
	s.legs[conn] = struct{}{}
	v.place = s.resting.PushBack(v)
	_ = conn.SetReadDeadline(deadline) // moved only to end the wait
	if s.over {
		s.part(v)
	}
	return v
}

// admit tells whether t, which v has opened, may be served. While the node is emptied
// nobody may, but for who is still sent here because the news is not out.
func (s *Server) admit(t *proxy.Session, v *visitor) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !v.since.IsZero() || s.leaving && !time.Now().Before(s.refuseAt) {
		return false
	}
	if s.used() >= s.limits.Sockets && (s.partings >= LingeringSockets(s.limits.Sockets) || !s.partOldest(v)) {
		return false
	}
	s.resting.Remove(v.place)
	s.running[t] = false
	_ = v.conn.SetReadDeadline(time.Time{}) // it can't be told to part any more
	return true
}

// partOldest tells who has rested longest to part, but not but, and whether there is one;
// under the lock.
func (s *Server) partOldest(but *visitor) bool {
	for e := s.resting.Front(); e != nil; e = e.Next() {
		if v := e.Value.(*visitor); v != but {
			s.part(v)
			return true
		}
	}
	return false
}

// part tells a visitor to part: its read ends, and it is seen off. Under the lock; again it
// changes nothing.
func (s *Server) part(v *visitor) {
	if !v.since.IsZero() {
		return
	}
	s.resting.Remove(v.place)
	v.since = time.Now()
	v.place = s.parting.PushBack(v)
	s.partings++
	_ = v.conn.SetReadDeadline(bufconn.PastDeadline)
}

// letGo forgets a visitor, or the leg that it has become; its connection is closed.
func (s *Server) letGo(v *visitor) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.legs, v.conn)
	s.resting.Remove(v.place)
	if !v.since.IsZero() {
		s.parting.Remove(v.place)
		s.partings--
	}
	s.free()
}

// free wakes who waits for room.
func (s *Server) free() {
	select {
	case s.freed <- struct{}{}:
	default:
	}
}
