package dispatch

import (
	"coralrelay/balance"
	"coralrelay/internal/route"
)

// Router knows the operators' routes and counts placements on them: it decides which route a
// placement takes and whether that has capacity; the module then draws within the route's
// constraint, or rejects. Its methods are called on Run's goroutine and return at once.
type Router interface {
	// Admit returns the route that a placement counts on from now on, nil for none, and the
	// constraint on where it may be drawn, nil for anywhere. Where the route has no capacity
	// the route is nil and the constraint allows nothing.
	Admit(request *Request) (*route.Route, *balance.ZoneConstraint)
	// Adopt is Admit for a placement that is established already.
	Adopt(request *Request) (*route.Route, *balance.ZoneConstraint)
	// AddUsage counts attempts beyond a placement's first, and probes made for it.
	AddUsage(admitted *route.Route, retries, probes int)
	// Release is called once for each placement that was admitted or adopted onto a route.
	Release(admitted *route.Route)
}

// admit hands a new placement to the module. The probes that the module answers with are made
// for this placement; of later ones the module does not say for which they are.
func (l *EventLoop) admit(active *activePlacement) {
	if l.Router == nil {
		l.handle(l.moduleRequest(active))
		return
	}
	active.route, active.constraint = l.Router.Admit(active.request)
	admitted := active.route // the module's answer may end the placement
	l.handle(l.moduleRequest(active))
	if admitted == nil {
		return
	}
	if probes := l.countProbes(); probes > 0 {
		l.Router.AddUsage(admitted, 0, probes)
	}
}

// countProbes is how many of the latest event's actions are probes.
func (l *EventLoop) countProbes() int {
	probes := 0
	for _, action := range l.actions {
		if _, ok := action.(balance.Probe); ok {
			probes++
		}
	}
	return probes
}

// adoptRoute counts an established placement on its route.
func (l *EventLoop) adoptRoute(active *activePlacement) {
	if l.Router != nil {
		active.route, active.constraint = l.Router.Adopt(active.request)
	}
}
