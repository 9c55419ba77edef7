package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/route"
)

// routed notes what it is told, on the Core's goroutine.
type routed struct{ notes []string }

var onRoute = &route.Route{Path: "acme:r"}

func (r *routed) Admit(q *Request) (*route.Route, *balance.ZoneConstraint) {
	if q.Tenant != "acme" {
		return nil, nil
	}
	r.notes = append(r.notes, "admit "+q.ID)
	return onRoute, nil
}

func (r *routed) Adopt(q *Request) (*route.Route, *balance.ZoneConstraint) {
	r.notes = append(r.notes, "adopt "+q.ID)
	return onRoute, nil
}

func (r *routed) AddUsage(_ *route.Route, again, probes int) {
	r.notes = append(r.notes, fmt.Sprintf("%d again, %d probes", again, probes))
}
func (r *routed) Release(on *route.Route) { r.notes = append(r.notes, "closed "+on.Path) }

// A route hears once of each that it has and of its end, of each attempt beyond a first, and
// of the probe that an arrival brings; of others it hears nothing.
func TestRouterHearsOfWhatCounts(t *testing.T) {
	r := &routed{}
	c, p := start(t)
	c.RunOnLoop(func(time.Duration) { c.Router = r })
	load := balance.EmptyLoadReport
	load.Utilization = 0.1
	x := submit(c, p, Request{ID: "a", Tenant: "acme"})
	first := wait(t, p.probed)
	c.ProbeEnded(first, balance.OK, time.Millisecond, load)
	c.AttemptEnded(x, 0, wait(t, p.started), balance.ConnectFailed, time.Millisecond, balance.EmptyLoadReport)
	second := wait(t, p.probed)
	c.ProbeEnded(second, balance.OK, time.Millisecond, load)
	c.AttemptEstablished(x, 1, wait(t, p.started), time.Millisecond)
	c.PlacementEnded(x, balance.OK)
	c.PlacementEnded(x, balance.OK)
	y := submit(c, p, Request{ID: "b", CurrentServer: "s1"})
	wait(t, p.started)
	c.ClientGone(y)
	submit(c, p, Request{ID: "c"})
	want := []string{"admit a", "0 again, 1 probes", "1 again, 0 probes", "closed acme:r", "adopt b", "closed acme:r"}
	c.RunOnLoop(func(time.Duration) {
		if !slices.Equal(r.notes, want) {
			t.Errorf("%q, want %q", r.notes, want)
		}
	})
}
