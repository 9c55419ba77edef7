package dispatch

import (
	"coralrelay/balance"
	"coralrelay/internal/route"
)

// activePlacement is the state of a placement from Submit or Adopt to its end.
type activePlacement struct {
	placement    Placement
	request      *Request
	starter      AttemptStarter // of the listener that submitted it
	server       string         // of the latest attempt
	attemptCount int
	established  bool
	pendingEnd   func()                  // handles an end that was reported before the establishment
	route        *route.Route            // that it counts on; nil for none
	constraint   *balance.ZoneConstraint // that the route sets; nil for none
	trace        *trace                  // nil where debug lines are off
}

// lookup returns the state of a placement, or nil if it has ended, also if another one has
// its id since.
func (l *EventLoop) lookup(placement Placement) *activePlacement {
	if active := l.placements[placement.PlacementRequest().ID]; active != nil && active.placement == placement {
		return active
	}
	return nil
}

// remove ends a placement and returns its state, nil if there is none of that id. The ending
// is for the debug line.
func (l *EventLoop) remove(id, ending string) *activePlacement {
	active := l.placements[id]
	if active == nil {
		return nil
	}
	if active.route != nil {
		l.Router.Release(active.route)
	}
	active.trace.log(active.request, ending)
	delete(l.placements, id)
	return active
}

// giveUp ends a placement that the module has given up for a reason; see remove.
func (l *EventLoop) giveUp(id, ending string, reason balance.RejectReason) *activePlacement {
	if active := l.placements[id]; active != nil {
		l.rejections[reason].Add(1)
		active.trace.giveUpReason(reason)
	}
	return l.remove(id, ending)
}

// moduleRequest is the request as the module takes it. A route's constraint takes the place
// of the request's own.
func (l *EventLoop) moduleRequest(active *activePlacement) balance.Request {
	request, constraint := active.request, active.request.ZoneConstraint
	if active.constraint != nil {
		constraint = active.constraint
	}
	return balance.Request{
		ID:           request.ID,
		Class:        request.Class,
		Group:        request.Group,
		LoadHint:     request.Hint,
		ClientRetry:  request.Retry,
		Reconnecting: request.Returned,
		Deadline:     l.clock.At(request.Deadline),
		Constraint:   constraint,
	}
}
