package dispatch

// How a front's items reach the module, and how they end.

import (
	"time"

	"coralrelay/balance"
)

// Request is what a front tells of an item when it brings it. Package handover sends it to
// another version of the process as JSON, so its keys must not change.
type Request struct {
	ID             string                  `json:"ID"`
	Class          string                  `json:"Class"`
	Key            string                  `json:"Key"`
	Group          string                  `json:"Group"`
	Tenant         string                  `json:"Tenant"` // whose client it is; empty where nobody says
	CurrentServer  string                  `json:"At"`     // the next hop that already holds it; empty if none
	Hint           float64                 `json:"Hint"`
	Retry          bool                    `json:"Retry"`
	Returned       bool                    `json:"Returned"`
	ZoneConstraint *balance.ZoneConstraint `json:"Bound"`    // where it may be drawn; nil for anywhere
	Deadline       time.Time               `json:"Deadline"` // the final answer must be out by then
}

// Item is what is placed: a line transaction, a flow, a question of another proxy.
// It is compared by identity, so it has to be a pointer. Its methods return at once
// and may be called at any time; of Refuse, Fail and the front's own way to say that
// it is up, the first counts, and is the one final answer.
type Placement interface {
	PlacementRequest() *Request // does not change
	Reject(pause time.Duration) bool
	Fail() bool
	Migrate() // asks what stands to go elsewhere; before that it does nothing
}

// Branches makes the attempts of one front's items. Start returns at once; what
// becomes of the attempt is told to the Core by BranchUp or BranchEnded, once.
type AttemptStarter interface {
	StartAttempt(item Placement, attempt int, server string, deadline time.Time)
}

// Submit takes an item, which is then owed one final answer; its attempts are made
// by b.
func (l *EventLoop) Submit(placement Placement, starter AttemptStarter) {
	l.post(func() {
		request := placement.PlacementRequest()
		if l.placements[request.ID] != nil || !l.knownClasses[request.Class] {
			// Ids are new for each connection: a second one would mix up two
			// transactions in the module. A class that the settings don't name
			// comes from nobody who may be served.
			l.rejectedLog.Warn("transaction rejected: id in use or class unknown", "id", request.ID, "class", request.Class)
			placement.Fail()
			return
		}
		active := &activePlacement{placement: placement, request: request, starter: starter, trace: newTrace()}
		l.placements[request.ID] = active
		if request.CurrentServer != "" {
			// It runs at that next hop already: there is nothing to decide, and
			// the module hears of it when it is up.
			active.server, active.attemptCount = request.CurrentServer, 1
			active.trace.attemptStarted(request.CurrentServer)
			l.adoptRoute(active)
			starter.StartAttempt(placement, 0, request.CurrentServer, request.Deadline)
			return
		}
		l.admit(active)
	})
}

func (l *EventLoop) moduleRequest(active *activePlacement) balance.Request {
	request, constraint := active.request, active.request.ZoneConstraint
	if active.constraint != nil {
		constraint = active.constraint
	}
	return balance.Request{ID: request.ID, Class: request.Class, Group: request.Group, LoadHint: request.Hint,
		ClientRetry: request.Retry, Reconnecting: request.Returned, Deadline: l.clock.At(request.Deadline), Constraint: constraint}
}

// CallerGone is told when a caller has left before its answer, or was turned away.
func (l *EventLoop) ClientGone(placement Placement) {
	l.post(func() {
		if active := l.lookup(placement); active != nil {
			l.remove(active.request.ID, "its caller left")
			l.handle(balance.ClientGone{ID: active.request.ID})
		}
	})
}

// Ended is told when what stood has ended: OK if it was served to its end, Reset if
// its next hop broke off or fell silent, else Cancelled.
func (l *EventLoop) PlacementEnded(placement Placement, outcome balance.Outcome) {
	l.post(func() {
		active := l.lookup(placement)
		if active == nil {
			return
		}
		finish := func() {
			l.remove(active.request.ID, outcomeNames[outcome])
			l.handle(balance.AttemptEnded{ID: active.request.ID, Attempt: active.attemptCount - 1, Server: active.server,
				Outcome: outcome, Final: true, LoadReport: balance.EmptyLoadReport})
		}
		if !active.established {
			// A front may have what stands as soon as its next hop says so: it may
			// end before the branch has said that it stood.
			active.pendingEnd = finish
			return
		}
		finish()
	})
}

// Adopt takes an item that stands at a server already, and tells whether it does: not
// if its id is in use here.
func (l *EventLoop) Adopt(placement Placement, server string) bool {
	adopted := make(chan bool, 1)
	l.post(func() {
		request := placement.PlacementRequest()
		if l.placements[request.ID] != nil {
			adopted <- false
			return
		}
		active := &activePlacement{placement: placement, request: request, server: server, attemptCount: 1, established: true}
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
