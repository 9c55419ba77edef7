package dispatch

import (
	"coralrelay/balance"
	"coralrelay/internal/route"
)

// activePlacement is the state of a placement from Submit or Adopt until it ends.
type activePlacement struct {
	placement    Placement
	request      *Request
	starter      AttemptStarter // of the listener that submitted the placement
	server       string         // of the latest attempt
	attemptCount int
	established  bool
	pendingEnd   func()                  // handles an end reported before the establishment; nil for none
	route        *route.Route            // on which the placement is counted; nil for none
	constraint   *balance.ZoneConstraint // set by the route; nil for none
	trace        *trace                  // nil if debug logging is disabled
}

// lookup returns the state of a placement, or nil if the placement has ended. Another placement
// that has reused its id is not returned.
func (l *EventLoop) lookup(placement Placement) *activePlacement {
	if active := l.placements[placement.PlacementRequest().ID]; active != nil && active.placement == placement {
		return active
	}
	return nil
}

// remove ends a placement and returns its state, or nil if there is no placement with that id. The
// outcome is logged in the placement's debug line.
func (l *EventLoop) remove(id, outcome string) *activePlacement {
	active := l.placements[id]
	if active == nil {
		return nil
	}
	if active.route != nil {
		l.Router.Release(active.route)
	}
	active.trace.log(active.request, outcome)
	delete(l.placements, id)
	return active
}

// giveUp ends a placement that the module has given up, and counts the reason. See remove for id and
// outcome.
func (l *EventLoop) giveUp(id, outcome string, reason balance.RejectReason) *activePlacement {
	if active := l.placements[id]; active != nil {
		l.rejections[reason].Add(1)
		active.trace.setReason(reason)
	}
	return l.remove(id, outcome)
}

// moduleRequest converts the request of a placement to that of the module. A route's constraint
// replaces the request's own.
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
