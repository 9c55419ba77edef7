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
	r.calls = append(r.calls, fmt.Sprintf("%d again, %d probes", retries, probes))
}
func (r *recordingRouter) Release(admitted *route.Route) {
	r.calls = append(r.calls, "closed "+admitted.Path)
}

// A route hears once of each that it has and of its end, of each attempt beyond a first, and
// of the probe that an arrival brings; of others it hears nothing.
func TestRouterIsTrackedForAdmittedPlacementsOnly(t *testing.T) {
	router := &recordingRouter{}
	loop, endpoints := startWithEndpoints(t)
	loop.RunOnLoop(func(time.Duration) { loop.Router = router })
	load := balance.EmptyLoadReport
	load.Utilization = 0.1
	retried := submit(loop, endpoints, Request{ID: "a", Tenant: "acme"})
	first := receive(t, endpoints.probed)
	loop.ProbeEnded(first, balance.OK, time.Millisecond, load)
	loop.AttemptEnded(retried, 0, receive(t, endpoints.started), balance.ConnectFailed, time.Millisecond, balance.EmptyLoadReport)
	second := receive(t, endpoints.probed)
	loop.ProbeEnded(second, balance.OK, time.Millisecond, load)
	loop.AttemptEstablished(retried, 1, receive(t, endpoints.started), time.Millisecond)
	loop.PlacementEnded(retried, balance.OK)
	loop.PlacementEnded(retried, balance.OK)
	reattached := submit(loop, endpoints, Request{ID: "b", CurrentServer: "s1"})
	receive(t, endpoints.started)
	loop.ClientGone(reattached)
	submit(loop, endpoints, Request{ID: "c"})
	want := []string{"admit a", "0 again, 1 probes", "1 again, 0 probes", "closed acme:r", "adopt b", "closed acme:r"}
	loop.RunOnLoop(func(time.Duration) {
		if !slices.Equal(router.calls, want) {
			t.Errorf("%q, want %q", router.calls, want)
		}
	})
}
