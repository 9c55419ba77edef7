package fake

import (
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	// overloadMaxWait is how long a call waits in the queue of an overloaded discovery before it is
	// answered 503.
	overloadMaxWait = 2 * time.Second
	// overloadServedShare is the share of calls that are served within overloadMaxWait.
	// overloadRejectedShare is the share that finds the queue full and is answered 503 at once.
	overloadServedShare, overloadRejectedShare = 1.0 / 3, 1.0 / 3
)

// SetOverloaded sets whether discovery is overloaded by other callers. While it is, established
// watches continue, but new calls are queued: some are served, the others are answered 503 after the
// wait, or at once because the queue is full.
func (d *Discovery) SetOverloaded(isOverloaded bool) { d.isOverloaded.Store(isOverloaded) }

// waitInQueue holds a call in the queue while discovery is overloaded. It returns false if the call is not
// to be served, because it was answered 503 or its client has disconnected.
func (d *Discovery) waitInQueue(w http.ResponseWriter, r *http.Request) bool {
	if !d.isOverloaded.Load() {
		return true
	}
	wait, draw := overloadMaxWait, rand.Float64()
	isServed, isRejected := draw < overloadServedShare, draw >= 1-overloadRejectedShare
	switch {
	case isServed:
		wait = rand.N(overloadMaxWait)
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
