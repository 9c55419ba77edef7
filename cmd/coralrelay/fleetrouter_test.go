package main

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"coralrelay/balance"
)

// A route restricts a tenant's requests to its zone and its limits, before the first endpoint list and
// after it. Requests beyond a limit are rejected at once with a Retry-After, the next half epoch has
// capacity again, and requests of other tenants are not restricted.
func TestRoutesBoundTenantToZoneAndLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		n := startRoutedNode(ctx, t, accountState(0, -1))

		n.advance(150 * time.Millisecond)
		n.expect("before the list, no capacity", 1, "1 busy with Retry-After, ")
		n.eventLoop.UpdateEndpoints(balance.ListUpdate{
			Kind:    balance.ListFull,
			Entries: []balance.ServerEntry{{ID: "a1", Zone: "a"}, {ID: "b1", Zone: "b"}},
		})
		n.state = accountState(4, -1)
		n.advance(850 * time.Millisecond) // to the next epoch, which has four tokens
		n.expect("first half", 6, "4 b1, 2 busy with Retry-After, ")
		if got := n.open("", 20); got == "20 b1, " || got == "20 a1, " {
			t.Errorf("other tenants are restricted too: %s", got)
		}
		n.advance(500 * time.Millisecond)
		n.expect("second half, all tokens are used", 2, "2 busy with Retry-After, ")
		n.advance(500 * time.Millisecond)
		n.expect("next epoch", 2, "2 b1, ")
		n.advance(500 * time.Millisecond)
		n.expect("second half, the remaining tokens", 3, "2 b1, 1 busy with Retry-After, ")
		n.state = accountState(-1, 9) // eight connections are open
		n.advance(500 * time.Millisecond)
		n.expect("connections", 3, "1 b1, 2 busy with Retry-After, ")
		for _, request := range n.placed {
			n.eventLoop.PlacementEnded(request, balance.OK)
		}
		synctest.Wait()
		n.expect("all connections have ended", 10, "9 b1, 1 busy with Retry-After, ")
		cancel()
		synctest.Wait()
	})
}
