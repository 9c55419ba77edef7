package udp

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/dispatch"
	"coralrelay/internal/flowtable"
)

// Datagrams of a flow go to its endpoint in order, whatever their size, and replies to its
// own client.
func TestForwardsInOrderAndRepliesToItsClient(t *testing.T) {
	inEachSocketMode(t, func(t *testing.T, mode configure) {
		listener, _, endpoints := startListener(t, mode)
		one, two := dial(t, listener), dial(t, listener)
		for _, suffix := range []string{"1", "", "3"} {
			one.send("one" + suffix)
			two.send("two" + suffix)
			one.expect("a:one" + suffix)
			two.expect("a:two" + suffix)
		}
		one.send("")
		one.expect("a:")
		two.send(string(bytes.Repeat([]byte("x"), 60_000)))
		eventually(t, "the large one arrives", func() bool { return endpoints.count("a") == 8 })
		counts := &listener.Counts
		in, forwarded, opened := counts.In.Load(), counts.Forwarded.Load(), counts.Opened.Load()
		if in != 8 || forwarded != 8 || opened != 2 {
			t.Errorf("%d in, %d forwarded, %d flows", in, forwarded, opened)
		}
	})
}

// Nothing reaches an endpoint that drains: the flow goes on at another, in mid-flow.
func TestDrainingEndpointGetsNothingMore(t *testing.T) {
	inEachSocketMode(t, func(t *testing.T, mode configure) {
		listener, dispatcher, endpoints := startListener(t, mode)
		client := dial(t, listener)
		client.send("1")
		client.expect("a:1")

		dispatcher.placeAt("b")
		endpoints.setDraining("a")
		client.send("2") // canSend sees it before EndpointsChanged is called
		client.expect("b:2")

		endpoints.setDraining("b")
		dispatcher.placeAt("a")
		listener.EndpointsChanged() // the flow loses its endpoint before it sends
		eventually(t, "the placement ends", func() bool { return len(dispatcher.outcomes()) == 2 })
		client.send("3")
		client.expect("a:3")
		if endpoints.count("a") != 2 || endpoints.count("b") != 1 {
			t.Errorf("a got %d, b %d", endpoints.count("a"), endpoints.count("b"))
		}
	})
}

// A closed port of an endpoint refuses datagrams: the dispatcher is told of a reset, and the
// flow is placed again.
func TestRefusedFlowIsPlacedAgain(t *testing.T) {
	const maxLost = 200 // datagrams, before the refusal is seen
	inEachSocketMode(t, func(t *testing.T, mode configure) {
		listener, dispatcher, endpoints := startListener(t, mode)
		client := dial(t, listener)
		client.send("1")
		client.expect("a:1")
		dispatcher.placeAt("b")
		_ = endpoints.conns["a"].Close()
		lost := 0
		client.sendUntil("2", func(answer string) bool {
			if answer == "b:2" {
				return true
			}
			if lost++; lost > maxLost {
				t.Fatal("never placed again")
			}
			return false
		})
		if ended := dispatcher.outcomes(); len(ended) != 1 || ended[0] != balance.Reset {
			t.Errorf("the dispatcher was told %v", ended)
		}
	})
}

// The first datagrams wait for the placement, the oldest is dropped for a new one, and those
// of a rejected flow are dropped. The counts add up.
func TestQueueDropsOldestWhileWaiting(t *testing.T) {
	listener, dispatcher, _ := startListener(t, nil)
	dispatcher.placeAt("")
	client := dial(t, listener)
	for _, datagram := range []string{"1", "2", "3", "4", "5"} {
		client.send(datagram)
	}
	eventually(t, "all came and the placement is requested", func() bool {
		return listener.Counts.In.Load() == 5 && len(dispatcher.submissions()) > 0
	})
	submitted := dispatcher.submissions()
	if dropped := listener.Counts.Queue.Load(); len(submitted) != 1 || dropped != 2 {
		t.Fatalf("%d placements requested, %d dropped", len(submitted), dropped)
	}
	listener.StartAttempt(submitted[0], 0, "a", time.Now().Add(time.Second))
	for _, datagram := range []string{"3", "4", "5"} {
		client.expect("a:" + datagram)
	}

	dispatcher.mu.Lock()
	dispatcher.reject = true
	dispatcher.mu.Unlock()
	dial(t, listener).send("1")
	eventually(t, "it is rejected", func() bool { return listener.Counts.Refused.Load() == 1 })
	checkBalance(t, &listener.Counts)
	if known, bound := listener.Len(); known != 1 || bound != 1 {
		t.Errorf("%d flows known, %d with a socket", known, bound)
	}
}

// An endpoint drains while thousands of flows wait for their placement, half of which were
// placed there: nothing reaches it, and nothing is lost. A client whose port has changed is
// another flow.
func TestDrainWhileMostFlowsWait(t *testing.T) {
	const (
		flows     = 2000
		burstSize = 100 // the sockets' buffers hold some 200 datagrams
	)
	manyFlows := func(options *Options) {
		options.Table.Entries = 2 * flows
		options.Sockets = 2 * flows
		options.QueueBudget.Count = 2 * flows
		options.NewFlows.Burst = 2 * flows
		options.Deadline = time.Minute
	}
	inEachSocketMode(t, func(t *testing.T, mode configure) {
		listener, dispatcher, endpoints := startListener(t, mode.and(manyFlows))
		dispatcher.placeAt("")
		clients := make([]testClient, flows)
		for i := range clients {
			clients[i] = dial(t, listener)
			clients[i].send(fmt.Sprint(i))
			if sent := i + 1; sent%burstSize == 0 {
				eventually(t, "they wait", func() bool { return listener.Counts.In.Load() == int64(sent) })
			}
		}
		eventually(t, "all placements are requested", func() bool { return len(dispatcher.submissions()) == flows })

		dispatcher.mu.Lock()
		dispatcher.endpointID, dispatcher.retryAt = "b", "b"
		dispatcher.mu.Unlock()
		endpoints.setDraining("a")
		listener.EndpointsChanged()
		establishAlternately(t, listener, dispatcher.submissions(), func(established int) {
			if established%burstSize == 0 {
				eventually(t, "they arrive", func() bool { return endpoints.count("b") == established })
			}
		})
		for i, client := range clients {
			client.expect(fmt.Sprint("b:", i))
		}

		rebound := dial(t, listener)
		rebound.send("1")
		rebound.expect("b:1")
		opened, dropped := listener.Counts.Opened.Load(), listener.Counts.Dropped()
		if n := endpoints.count("a"); n != 0 || opened != flows+1 || dropped != 0 {
			t.Errorf("%d reached the draining endpoint, %d flows, %d dropped", n, opened, dropped)
		}
	})
}

// establishAlternately starts attempts at a and b by turns.
func establishAlternately(t *testing.T, listener *Listener, placements []dispatch.Placement, started func(int)) {
	t.Helper()
	for i, placement := range placements {
		endpointID := []string{"a", "b"}[i%2]
		listener.StartAttempt(placement, 0, endpointID, placement.PlacementRequest().Deadline)
		started(i + 1)
	}
}

// Idle flows are forgotten and their sockets closed. The same client opens a new flow then.
func TestIdleFlowExpiresWithItsSocket(t *testing.T) {
	shortTimeout := func(options *Options) { options.Table.IdleTimeout = 64 * time.Millisecond }
	inEachSocketMode(t, func(t *testing.T, mode configure) {
		listener, _, endpoints := startListener(t, mode.and(shortTimeout))
		client := dial(t, listener)
		client.send("1")
		client.expect("a:1")
		eventually(t, "it expires", func() bool {
			known, bound := listener.Len()
			return known == 0 && bound == 0
		})
		client.send("2")
		client.expect("a:2")
		if opened := listener.Counts.Opened.Load(); opened != 2 || endpoints.count("a") != 2 {
			t.Errorf("%d flows, %d datagrams arrived", opened, endpoints.count("a"))
		}
	})
}

func TestRejectsWhenTableFullOrSourceLimited(t *testing.T) {
	listener, _, _ := startListener(t, func(options *Options) {
		options.Table.Entries, options.Table.Policy = 2, flowtable.RefuseNew
		options.Sources = flowtable.SourceOptions{Slots: 64, Rate: 0.001, Burst: 3}
	})
	for range 2 {
		client := dial(t, listener)
		client.send("1")
		client.expect("a:1")
	}
	dial(t, listener).send("1")
	eventually(t, "the table is full", func() bool { return listener.Counts.Full.Load() == 1 })
	for range 8 {
		dial(t, listener).send("1")
	}
	eventually(t, "the source is limited", func() bool { return listener.Counts.Limited.Load() > 0 })
}
