package main

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"coralrelay/balance"
)

// A route bounds a tenant's requests to its zone and to its limits, before the first list and after
// it; those over a limit are answered at once with a Retry-After, the next half epoch has capacity
// again, and other tenants' requests go where they would.
func TestRoutesBoundTenantToZoneAndLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		n := startRoutedNode(ctx, t, accountState(0, -1))

		n.advance(150 * time.Millisecond)
		n.expect("before the list, no capacity", 1, "1 busy with a pause, ")
		n.eventLoop.UpdateEndpoints(balance.ListUpdate{
			Kind:    balance.ListFull,
			Entries: []balance.ServerEntry{{ID: "a1", Zone: "a"}, {ID: "b1", Zone: "b"}},
		})
		n.state = accountState(4, -1)
		n.advance(850 * time.Millisecond) // to the next epoch: four tokens
		n.expect("first half", 6, "4 b1, 2 busy with a pause, ")
		if got := n.open("", 20); got == "20 b1, " || got == "20 a1, " {
			t.Errorf("other tenants are bound too: %s", got)
		}
		n.advance(500 * time.Millisecond)
		n.expect("second half, all is spent", 2, "2 busy with a pause, ")
		n.advance(500 * time.Millisecond)
		n.expect("next epoch", 2, "2 b1, ")
		n.advance(500 * time.Millisecond)
		n.expect("what was left, again", 3, "2 b1, 1 busy with a pause, ")
		n.state = accountState(-1, 9) // eight connections are open
		n.advance(500 * time.Millisecond)
		n.expect("connections", 3, "1 b1, 2 busy with a pause, ")
		for _, request := range n.placed {
			n.eventLoop.PlacementEnded(request, balance.OK)
		}
		synctest.Wait()
		n.expect("they have ended", 10, "9 b1, 1 busy with a pause, ")
		cancel()
		synctest.Wait()
	})
}
