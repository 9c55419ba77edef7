package fake

import (
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	// crowdWait is for how long discovery lets a call wait while it is crowded; then it is answered 503.
	crowdWait = 2 * time.Second
	// crowdServedShare is the share of the calls whose turn comes before that, and crowdRejectedShare that of those
	// for which there is no place in the queue: they are answered 503 at once.
	crowdServedShare, crowdRejectedShare = 1.0 / 3, 1.0 / 3
)

// SetOverloaded has discovery be kept busy by other callers from now on, or no longer. Watches that stand go on; calls
// wait for their turn, and most in vain, or find no place in the queue.
func (d *Discovery) SetOverloaded(isCrowded bool) { d.isCrowded.Store(isCrowded) }

// awaitTurn waits for a call's turn. It returns false if the call has no turn: it was answered, or its client has gone.
func (d *Discovery) awaitTurn(w http.ResponseWriter, r *http.Request) bool {
	if !d.isCrowded.Load() {
		return true
	}
	wait, draw := crowdWait, rand.Float64()
	isServed, isRejected := draw < crowdServedShare, draw >= 1-crowdRejectedShare
	switch {
	case isServed:
		wait = rand.N(crowdWait)
	case isRejected:
		wait = 0
	}
	select {
	case <-r.Context().Done():
		return false
	case <-time.After(wait):
	}
	if !isServed {
		http.Error(w, "", http.StatusServiceUnavailable)
	}
	return isServed
}
