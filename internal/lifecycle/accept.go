package lifecycle

import "time"

// Admission is what is known of the clients' side when a request was read.
type Admission struct {
	Draining    bool
	RejectAt    time.Time // while it drains: requests are rejected from then on
	Evicted     bool      // the client has been given its last answer
	HasCapacity bool      // there are sockets for the client and its attempt
}

// MayAccept is asked, with the time as it is then, whether a request that was read may be served.
// Whatever the answer, the request is owed one.
func MayAccept(now time.Time, listener Admission) Refusal {
	switch {
	case listener.Evicted:
		return Evicted
	case listener.Draining && !now.Before(listener.RejectAt):
		return NodeDraining
	case !listener.HasCapacity:
		return NoCapacity
	}
	return None
}
