package dispatch

import (
	"time"

	"coralrelay/balance"
)

// Request describes a placement. Package hotrestart sends it to another version of the process
// as JSON, so its keys must not change.
type Request struct {
	ID             string                  `json:"ID"`
	Class          string                  `json:"Class"`
	Key            string                  `json:"Key"`
	Group          string                  `json:"Group"`
	Tenant         string                  `json:"Tenant"` // whose client it is; empty if unknown
	CurrentServer  string                  `json:"At"`     // the server that holds it already; empty if none
	Hint           float64                 `json:"Hint"`
	Retry          bool                    `json:"Retry"`
	Returned       bool                    `json:"Returned"`
	ZoneConstraint *balance.ZoneConstraint `json:"Bound"`    // where it may be drawn; nil for anywhere
	Deadline       time.Time               `json:"Deadline"` // the final answer must be sent by then
}

// Placement is what is placed at a server, such as a session of the line protocol or a flow of
// datagrams. Placements are compared by identity, so an implementation must be a pointer. Its
// methods return at once and may be called at any time. The first of Reject, Fail and the
// listener's own way to mark it established counts: it is the one final answer.
type Placement interface {
	// PlacementRequest is always the same.
	PlacementRequest() *Request
	// Reject answers that the node is busy, with the pause before the client should retry. It
	// is false if there was a final answer before.
	Reject(pause time.Duration) bool
	// Fail answers that the placement failed. It is false if there was a final answer before.
	Fail() bool
	// Migrate asks an established client to connect again, elsewhere. Before the
	// establishment it does nothing.
	Migrate()
}

// Submit takes a placement, which is then owed one final answer. Its attempts are made by the
// starter.
func (l *EventLoop) Submit(placement Placement, starter AttemptStarter) {
	l.post(func() {
		request := placement.PlacementRequest()
		if l.placements[request.ID] != nil || !l.knownClasses[request.Class] {
			// Ids are new for each connection: a second one would mix up two placements in
			// the module. A class that the settings don't name comes from nobody who may be
			// served.
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

// reattach starts the only attempt for a placement that a server holds already. There is
// nothing to decide: the module hears of it once it is established.
func (l *EventLoop) reattach(active *activePlacement) {
	request := active.request
	active.server, active.attemptCount = request.CurrentServer, 1
	active.trace.attemptStarted(request.CurrentServer)
	l.adoptRoute(active)
	active.starter.StartAttempt(active.placement, 0, request.CurrentServer, request.Deadline)
}

// ClientGone reports that a client has left before its answer, or was rejected by its listener.
func (l *EventLoop) ClientGone(placement Placement) {
	l.post(func() {
		if active := l.lookup(placement); active != nil {
			l.remove(active.request.ID, "client gone")
			l.handle(balance.ClientGone{ID: active.request.ID})
		}
	})
}

// PlacementEnded reports the end of an established placement: OK if it was served to its end,
// Reset if its server broke off or fell silent, else Cancelled.
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
			// The listener has the connection as soon as the server accepts it, so its end
			// may be reported before AttemptEstablished is.
			active.pendingEnd = finish
			return
		}
		finish()
	})
}

// Adopt takes a placement that is established at a server already. It waits for Run, and is
// false if the placement's id is in use or Run has ended.
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
