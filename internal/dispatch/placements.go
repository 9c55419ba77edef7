package dispatch

import (
	"time"

	"coralrelay/balance"
)

// Request describes a placement. Package hotrestart sends it as JSON to another process, which may
// run another version, so the keys must not change.
type Request struct {
	ID             string                  `json:"ID"`
	Class          string                  `json:"Class"`
	Key            string                  `json:"Key"`
	Group          string                  `json:"Group"`
	Tenant         string                  `json:"Tenant"` // tenant of the client; empty if unknown
	CurrentServer  string                  `json:"At"`     // server that holds the placement; empty if none
	Hint           float64                 `json:"Hint"`   // load relative to other placements; 0 if unknown
	Retry          bool                    `json:"Retry"`
	Returned       bool                    `json:"Returned"` // the client reconnects after a break or a MOVE
	ZoneConstraint *balance.ZoneConstraint `json:"Bound"`    // zones where it may be placed; nil for all
	Deadline       time.Time               `json:"Deadline"` // by which the final answer must be sent
}

// Placement is an object to be placed on a server, such as a session of the line protocol or a flow
// of datagrams. Placements are compared by identity, so an implementation must be a pointer. Its
// methods return immediately and may be called at any time. A placement has one final answer: the
// first of Reject, Fail and the establishment, which the listener records in its own way.
type Placement interface {
	// PlacementRequest returns the request of the placement, always the same one.
	PlacementRequest() *Request
	// Reject answers that the node is busy, with the time that the client should wait before it
	// retries. It returns false if the placement already has a final answer.
	Reject(pause time.Duration) bool
	// Fail answers that the placement failed. It returns false if the placement already has a
	// final answer.
	Fail() bool
	// Migrate tells the client of an established placement to reconnect elsewhere. Before the
	// establishment it has no effect.
	Migrate()
}

// Submit adds a placement, which then receives exactly one final answer. The starter makes its
// attempts.
func (l *EventLoop) Submit(placement Placement, starter AttemptStarter) {
	l.post(func() {
		request := placement.PlacementRequest()
		if l.placements[request.ID] != nil || !l.knownClasses[request.Class] {
			// Each connection has a new id; with a duplicate, the module would confuse two
			// placements. Requests of a class that is not in the settings are not served.
			l.rejectedLog.Warn("placement failed: id in use or class unknown", "component", "dispatch",
				"id", request.ID, "class", request.Class)
			placement.Fail()
			return
		}
		active := &activePlacement{placement: placement, request: request, starter: starter, trace: newTrace()}
		l.placements[request.ID] = active
		if request.CurrentServer != "" {
			l.reattach(active)
			return
		}
		l.admit(active)
	})
}

// reattach starts the only possible attempt for a placement that a server already holds. No decision
// is needed, so the module is told of the placement only once it is established.
func (l *EventLoop) reattach(active *activePlacement) {
	request := active.request
	active.server, active.attemptCount = request.CurrentServer, 1
	active.trace.attemptStarted(request.CurrentServer)
	l.adoptRoute(active)
	active.starter.StartAttempt(active.placement, 0, request.CurrentServer, request.Deadline)
}

// ClientGone reports that a client has left before its final answer, or that its listener has
// rejected it.
func (l *EventLoop) ClientGone(placement Placement) {
	l.post(func() {
		if active := l.lookup(placement); active != nil {
			l.remove(active.request.ID, "client gone")
			l.handle(balance.ClientGone{ID: active.request.ID})
		}
	})
}

// PlacementEnded reports the end of an established placement. The outcome is OK if the placement was
// served to its end, Reset if the server closed the connection early or stopped responding, and
// Cancelled otherwise.
func (l *EventLoop) PlacementEnded(placement Placement, outcome balance.Outcome) {
	l.post(func() {
		active := l.lookup(placement)
		if active == nil {
			return
		}
		finish := func() {
			l.remove(active.request.ID, outcomeNames[outcome])
			l.handle(balance.AttemptEnded{ID: active.request.ID, Attempt: active.attemptCount - 1,
				Server: active.server, Outcome: outcome, Final: true, LoadReport: balance.EmptyLoadReport})
		}
		if !active.established {
			// The listener owns the connection as soon as the server accepts it, so the end
			// may be reported before AttemptEstablished.
			active.pendingEnd = finish
			return
		}
		finish()
	})
}

// Adopt adds a placement that is already established at a server. It waits for Run, and returns false
// if the placement's id is in use or Run has ended.
func (l *EventLoop) Adopt(placement Placement, server string) bool {
	adopted := make(chan bool, 1)
	l.post(func() {
		request := placement.PlacementRequest()
		if l.placements[request.ID] != nil {
			adopted <- false
			return
		}
		active := &activePlacement{
			placement:    placement,
			request:      request,
			server:       server,
			attemptCount: 1,
			established:  true,
		}
		l.placements[request.ID] = active
		l.adoptRoute(active)
		l.handle(balance.OpenConnection{Request: l.moduleRequest(active), Server: server})
		adopted <- true
	})
	select {
	case ok := <-adopted:
		return ok
	case <-l.done:
		return false
	}
}
