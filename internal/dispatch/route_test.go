package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/route"
)

// recordingRouter records the calls of its methods. It is used on the loop's goroutine only.
type recordingRouter struct{ calls []string }

var testRoute = &route.Route{Path: "acme:r"}

func (r *recordingRouter) Admit(request *Request) (*route.Route, *balance.ZoneConstraint) {
	if request.Tenant != "acme" {
		return nil, nil
	}
	r.calls = append(r.calls, "admit "+request.ID)
	return testRoute, nil
}

func (r *recordingRouter) Adopt(request *Request) (*route.Route, *balance.ZoneConstraint) {
	r.calls = append(r.calls, "adopt "+request.ID)
	return testRoute, nil
}

func (r *recordingRouter) AddUsage(_ *route.Route, retries, probes int) {
	r.calls = append(r.calls, fmt.Sprintf("%d retries, %d probes", retries, probes))
}
func (r *recordingRouter) Release(admitted *route.Route) {
	r.calls = append(r.calls, "release "+admitted.Path)
}

// The router is called once for each placement on a route and once for its end, for each attempt after
// the first, and for the probe made on arrival. It is not called for placements without a route.
func TestRouterIsCalledForPlacementsOnRoutesOnly(t *testing.T) {
	router := &recordingRouter{}
	loop, endpoints := startWithEndpoints(t)
	loop.RunOnLoop(func(time.Duration) { loop.Router = router })
	retried := submit(loop, endpoints, Request{ID: "a", Tenant: "acme"})
	first := receive(t, endpoints.probed)
	loop.ProbeEnded(first, balance.OK, time.Millisecond, lightLoad())
	loop.AttemptEnded(retried, 0, receive(t, endpoints.started), balance.ConnectFailed, time.Millisecond,
		balance.EmptyLoadReport)
	second := receive(t, endpoints.probed)
	loop.ProbeEnded(second, balance.OK, time.Millisecond, lightLoad())
	loop.AttemptEstablished(retried, 1, receive(t, endpoints.started), time.Millisecond)
	loop.PlacementEnded(retried, balance.OK)
	loop.PlacementEnded(retried, balance.OK)
	reattached := submit(loop, endpoints, Request{ID: "b", CurrentServer: "s1"})
	receive(t, endpoints.started)
	loop.ClientGone(reattached)
	submit(loop, endpoints, Request{ID: "c"})
	want := []string{
		"admit a", "0 retries, 1 probes", "1 retries, 0 probes", "release acme:r",
		"adopt b", "release acme:r",
	}
	loop.RunOnLoop(func(time.Duration) {
		if !slices.Equal(router.calls, want) {
			t.Errorf("calls %q, want %q", router.calls, want)
		}
	})
}
