package dispatch

// How operators' routes bound items. Which route, and whether there is room on it, is the
// Router's word; the module draws within it, or refuses.

import (
	"time"

	"coralrelay/balance"
	"coralrelay/internal/route"
)

// Router knows the routes, and counts items on them. Its methods are called on the Core's
// goroutine, and return at once.
type Router interface {
	// Admit returns the route that an item counts on from now on, nil for none, and where
	// it may be drawn; nil for anywhere. The bound of one that there is no room for allows
	// nothing.
	Admit(r *Request) (*route.Route, *balance.ZoneConstraint)
	// Adopt is Admit for what stands already.
	Adopt(r *Request) (*route.Route, *balance.ZoneConstraint)
	// Spent counts attempts beyond an item's first, and probes made for it.
	AddUsage(r *route.Route, again, probes int)
	// Closed is told once of each that was admitted or adopted onto a route.
	Release(r *route.Route)
}

// admit hands a new item to the module. Probes that answer it are for it; of later ones the
// module does not say for whom they are.
func (l *EventLoop) admit(active *activePlacement) {
	if l.Router == nil {
		l.handle(l.moduleRequest(active))
		return
	}
	active.route, active.constraint = l.Router.Admit(active.request)
	admitted := active.route // which the answer may drop already
	l.handle(l.moduleRequest(active))
	if admitted == nil {
		return
	}
	probes := 0
	for _, action := range l.actions {
		if _, ok := action.(balance.Probe); ok {
			probes++
		}
	}
	if probes > 0 {
		l.Router.AddUsage(admitted, 0, probes)
	}
}

func (l *EventLoop) adoptRoute(active *activePlacement) {
	if l.Router != nil {
		active.route, active.constraint = l.Router.Adopt(active.request)
	}
}

// Inside runs f on the Core's goroutine, with the module's time, and waits for it; it does
// not run once the Core has ended.
func (l *EventLoop) RunOnLoop(f func(now time.Duration)) {
	query(l, func(now time.Duration) struct{} { f(now); return struct{}{} })
}

// Now is the module's time. It is for the Router.
func (l *EventLoop) Now() time.Duration { return l.clock.At(time.Now()) }
