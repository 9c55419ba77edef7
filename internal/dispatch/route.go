package dispatch

import (
	"coralrelay/balance"
	"coralrelay/internal/route"
)

// Router selects the route of each placement among those that the operators have configured, and counts
// placements on routes. It decides whether a route has capacity; the module then draws a server within
// the route's constraint, or rejects. Its methods are called on Run's goroutine and must not block.
type Router interface {
	// Admit counts a new placement on its route. It returns the route, nil for none, and the
	// constraint on the zones of its servers, nil for no constraint. If the route has no capacity,
	// the route is nil and the constraint allows no zone.
	Admit(request *Request) (*route.Route, *balance.ZoneConstraint)
	// Adopt is like Admit, for a placement that is already established.
	Adopt(request *Request) (*route.Route, *balance.ZoneConstraint)
	// AddUsage counts the attempts after a placement's first, and the probes made for it.
	AddUsage(admitted *route.Route, retries, probes int)
	// Release is called once at the end of each placement that was counted on a route.
	Release(admitted *route.Route)
}

// admit passes a new placement to the module. Probes that the module requests in response are counted
// on the route of the placement. Later probes are not, because the module does not report for which
// placement they are made.
func (l *EventLoop) admit(active *activePlacement) {
	if l.Router == nil {
		l.handle(l.moduleRequest(active))
		return
	}
	active.route, active.constraint = l.Router.Admit(active.request)
	admitted := active.route // the module's actions may end the placement
	l.handle(l.moduleRequest(active))
	if admitted == nil {
		return
	}
	if probes := l.countProbes(); probes > 0 {
		l.Router.AddUsage(admitted, 0, probes)
	}
}

// countProbes returns how many of the actions for the latest event are probes.
func (l *EventLoop) countProbes() int {
	probes := 0
	for _, action := range l.actions {
		if _, ok := action.(balance.Probe); ok {
			probes++
		}
	}
	return probes
}

// adoptRoute finds the route of a placement that a server already holds, and counts the placement on it.
func (l *EventLoop) adoptRoute(active *activePlacement) {
	if l.Router != nil {
		active.route, active.constraint = l.Router.Adopt(active.request)
	}
}
