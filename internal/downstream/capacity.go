package downstream

import (
	"time"

	"coralrelay/internal/bufconn"
	"coralrelay/internal/lifecycle"
	"coralrelay/internal/proxy"
)

const (
	// minLinger is how long a client that may still be sending its request lingers at least after its last
	// byte, or its connect, also when others wait for its socket.
	minLinger = 25 * time.Millisecond
	// minAnswerLinger is how long it lingers at least after its answer: what it had under way when it got it
	// arrives within that.
	minAnswerLinger = 5 * time.Millisecond
)

// LingeringSockets returns how many sockets lingering clients may use beside the given
// number of sockets of clients and upstreams.
func LingeringSockets(sockets int) int { return max(4, sockets/16) }

// SetSocketLimit changes how many sockets clients and their upstreams may use.
func (s *Server) SetSocketLimit(sockets int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits.Sockets = sockets
}

// socketsUsed counts the sockets of clients and upstreams, without those of lingering
// clients, in both processes where there are two. The lock is held.
func (s *Server) socketsUsed() int {
	used := len(s.clients) - s.lingeringCount + len(s.sessions)
	if s.limits.UsedElsewhere != nil {
		used += s.limits.UsedElsewhere()
	}
	return used
}

// awaitCapacity returns when there is capacity for one more client, even if it can only be
// rejected. The client that has been idle for longest makes way for it; usual clients send
// their first line at once.
func (s *Server) awaitCapacity() {
	for wait := s.makeCapacity(); wait > 0; wait = s.makeCapacity() {
		select {
		case <-s.capacitySignal:
		case <-time.After(wait):
		}
	}
}

// makeCapacity returns 0 if there is capacity for one more client. Else it evicts one, or
// cuts a lingering one short, and returns when to look again. Half of the lingering
// sockets are left to clients that admit rejects.
func (s *Server) makeCapacity() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	maxLingering := LingeringSockets(s.limits.Sockets) / 2
	mayEvict := s.lingeringCount < maxLingering
	if mayEvict && s.socketsUsed() >= s.limits.Sockets {
		s.evictLongestIdle(nil)
	}
	// Again, as one more may linger now.
	if s.lingeringCount < maxLingering && s.socketsUsed() < s.limits.Sockets {
		return 0
	}
	if len(s.clients)-len(s.sessions) < maxLingering {
		return 0
	}
	return s.cutLingering()
}

// startLinger has a client that was given its last answer linger, and says from when on it may be cut
// short. A client whose request was read has nothing more to send, and may be at once.
func (s *Server) startLinger(client *pendingClient) {
	shortest := time.Duration(0)
	if !client.requestRead {
		shortest = max(minLinger-bufconn.SinceLastArrival(client.conn), minAnswerLinger)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	client.evictableAt = now.Add(shortest)
	_ = client.conn.SetReadDeadline(now.Add(lingerTimeout))
	s.signalCapacity()
}

// cutLingering ends the client that has lingered for longest of those that may be cut short. It returns
// when to look again, if nothing signals before. The lock is held.
func (s *Server) cutLingering() time.Duration {
	now, lookAgainIn := time.Now(), minLinger
	for element := s.lingering.Front(); element != nil; element = element.Next() {
		client := element.Value.(*pendingClient)
		switch remaining := client.evictableAt.Sub(now); {
		case client.evictableAt.IsZero(): // not answered yet
		case remaining > 0:
			lookAgainIn = min(lookAgainIn, remaining)
		default:
			s.lingering.Remove(element)
			_ = client.conn.SetReadDeadline(bufconn.PastDeadline) // what it still sends is not read any more
			return minLinger
		}
	}
	return lookAgainIn
}

// admit says whether a session that client has opened may be served, and adds it then. While the
// server drains, sessions are still admitted until rejectAt: clients are sent here until everybody knows
// that it drains. Whoever waited here until its client had left is not served.
func (s *Server) admit(session *proxy.Session, client *pendingClient) lifecycle.Refusal {
	if session.ClientHasLeft() {
		return lifecycle.ClientHasLeft
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	refusal := lifecycle.MayAccept(time.Now(), lifecycle.Admission{
		Draining:    s.draining,
		RejectAt:    s.rejectAt,
		Evicted:     client.lingers,
		HasCapacity: s.socketsUsed() < s.limits.Sockets || s.canEvictOtherThan(client),
	})
	if refusal != lifecycle.None {
		return refusal
	}
	if s.socketsUsed() >= s.limits.Sockets {
		s.evictLongestIdle(client)
	}
	s.idle.Remove(client.element)
	s.sessions[session] = false
	_ = client.conn.SetReadDeadline(time.Time{}) // it can't be evicted any more
	return lifecycle.None
}

// canEvictOtherThan reports whether an idle client other than one can make way. The lock is held.
func (s *Server) canEvictOtherThan(client *pendingClient) bool {
	others := s.idle.Len()
	if !client.lingers {
		others--
	}
	return others > 0 && s.lingeringCount < LingeringSockets(s.limits.Sockets)
}

// signalCapacity wakes awaitCapacity.
func (s *Server) signalCapacity() {
	select {
	case s.capacitySignal <- struct{}{}:
	default:
	}
}
