package lifecycle

import "time"

// Admission is the state of the client side at the time at which a request has been read.
type Admission struct {
	Draining    bool
	RejectAt    time.Time // while the node drains, it rejects requests from this time on
	Evicted     bool      // the client has been sent its last answer, and its connection lingers
	HasCapacity bool      // sockets are available for the client and its attempt
}

// MayAccept checks at time now whether a request that has been read may be served. A refused request
// must still be answered.
func MayAccept(now time.Time, admission Admission) Refusal {
	switch {
	case admission.Evicted:
		return Evicted
	case admission.Draining && !now.Before(admission.RejectAt):
		return NodeDraining
	case !admission.HasCapacity:
		return NoCapacity
	}
	return None
}
