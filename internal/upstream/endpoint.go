package upstream

import (
	"context"
	"sync"
	"time"
)

// endpointState is what the Pool knows of one endpoint.
type endpointState struct {
	id            string
	probeRequests chan struct{} // holds one if a probe is wanted
	cancel        context.CancelFunc

	mu             sync.Mutex
	addr           string
	drainStartedAt time.Time // when discovery said that it drains or is gone; zero if it has not
	unresponsive   bool      // it did not answer its last probe
}

// update takes what discovery says of the endpoint. An empty address leaves the known one.
func (e *endpointState) update(addr string, draining bool, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if addr != "" {
		e.addr = addr
	}
	switch {
	case !draining:
		e.drainStartedAt = time.Time{}
	case e.drainStartedAt.IsZero():
		e.drainStartedAt = now
	}
}

func (e *endpointState) address() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.addr
}

// acceptsTraffic is whether something new may still be sent, with a grace after the start of a
// drain.
func (e *endpointState) acceptsTraffic(now time.Time, grace time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.drainStartedAt.IsZero() || now.Before(e.drainStartedAt.Add(grace))
}

func (e *endpointState) isResponsive() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.unresponsive
}

func (e *endpointState) setUnresponsive(unresponsive bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unresponsive = unresponsive
}
