package downstream

import (
	"time"

	"coralrelay/internal/bufconn"
	"coralrelay/internal/lifecycle"
	"coralrelay/internal/proxy"
)

const (
	// minLinger is the minimum time that a client that may still be sending its request lingers
	// after its last byte or its connect, even if other clients wait for its socket.
	minLinger = 25 * time.Millisecond
	// minAnswerLinger is the minimum time that such a client lingers after its answer. Bytes that
	// were in flight when the client received the answer arrive within that time.
	minAnswerLinger = 5 * time.Millisecond
)

// LingeringSockets returns how many sockets lingering clients may use in addition to the given
// number of sockets for clients and upstreams.
func LingeringSockets(sockets int) int { return max(4, sockets/16) }

// SetSocketLimit changes how many sockets clients and their upstreams may use.
func (s *Server) SetSocketLimit(sockets int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits.Sockets = sockets
}

// socketsUsed returns the number of sockets of clients and upstreams in all processes, without
// those of lingering clients. The caller must hold s.mu.
func (s *Server) socketsUsed() int {
	used := len(s.clients) - s.lingeringCount + len(s.sessions)
	if s.limits.UsedElsewhere != nil {
		used += s.limits.UsedElsewhere()
	}
	return used
}

// awaitCapacity blocks until there is capacity for one more client, even if that client can only be
// rejected. To make room, the client that has been idle for longest is evicted: ordinary clients
// send their first line as soon as they are connected.
func (s *Server) awaitCapacity() {
	for wait := s.reclaimCapacity(); wait > 0; wait = s.reclaimCapacity() {
		select {
		case <-s.capacitySignal:
		case <-time.After(wait):
		}
	}
}

// reclaimCapacity evicts an idle client or interrupts a lingering one if there is no capacity. It
// returns 0 if there is capacity for one more client, even if that client can only be rejected, and
// otherwise how long to wait before the next call. Half of the lingering sockets are reserved for
// clients that admit rejects.
func (s *Server) reclaimCapacity() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	maxLingering := LingeringSockets(s.limits.Sockets) / 2
	mayEvict := s.lingeringCount < maxLingering
	if mayEvict && s.socketsUsed() >= s.limits.Sockets {
		s.evictLongestIdle(nil)
	}
	// Check lingeringCount again, as the eviction may have increased it.
	if s.lingeringCount < maxLingering && s.socketsUsed() < s.limits.Sockets {
		return 0
	}
	if len(s.clients)-len(s.sessions) < maxLingering {
		return 0
	}
	return s.interruptLongestLingering()
}

// startLinger sets the linger deadline of a client that was sent its last answer, and the time from
// which its linger may be interrupted. The linger of a client whose request was read may be
// interrupted at once, as that client has nothing more to send.
func (s *Server) startLinger(client *pendingClient) {
	minimum := time.Duration(0)
	if !client.requestRead {
		minimum = max(minLinger-bufconn.SinceLastArrival(client.conn), minAnswerLinger)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	client.interruptibleAt = now.Add(minimum)
	_ = client.conn.SetReadDeadline(now.Add(lingerTimeout))
	s.signalCapacity()
}

// interruptLongestLingering interrupts the linger of the client that has lingered for longest among
// those whose linger may be interrupted. It returns how long to wait before the next call if there
// is no capacity signal. The caller must hold s.mu.
func (s *Server) interruptLongestLingering() time.Duration {
	now, retryIn := time.Now(), minLinger
	for element := s.lingering.Front(); element != nil; element = element.Next() {
		client := element.Value.(*pendingClient)
		switch remaining := client.interruptibleAt.Sub(now); {
		case client.interruptibleAt.IsZero(): // not answered yet
		case remaining > 0:
			retryIn = min(retryIn, remaining)
		default:
			s.lingering.Remove(element)
			_ = client.conn.SetReadDeadline(bufconn.PastDeadline) // stops reading its input
			return minLinger
		}
	}
	return retryIn
}

// admit decides whether a session that client has opened may be served, and registers it if so.
// While the server drains, sessions are still admitted until rejectAt, as clients are sent here
// until the drain is known everywhere. A session is not served if its client has disconnected while
// it waited.
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
	_ = client.conn.SetReadDeadline(time.Time{}) // an admitted client is no longer evicted
	return lifecycle.None
}

// canEvictOtherThan reports whether an idle client other than client can be evicted. The caller
// must hold s.mu.
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
