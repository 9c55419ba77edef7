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

// Datagrams of any size reach the flow's endpoint in order, and replies reach the client of the
// flow.
func TestForwardsInOrderAndRepliesToSender(t *testing.T) {
	forEachSocketMode(t, func(t *testing.T, mode configure) {
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
		eventually(t, "the large datagram arrives", func() bool { return endpoints.count("a") == 8 })
		counts := &listener.Counts
		in, forwarded, opened := counts.In.Load(), counts.Forwarded.Load(), counts.Opened.Load()
		if in != 8 || forwarded != 8 || opened != 2 {
			t.Errorf("%d datagrams in, %d forwarded, %d flows opened, want 8, 8 and 2", in, forwarded, opened)
		}
	})
}

// A draining endpoint receives no more datagrams: an established flow continues at another
// endpoint.
func TestDrainingEndpointReceivesNothing(t *testing.T) {
	forEachSocketMode(t, func(t *testing.T, mode configure) {
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
		listener.EndpointsChanged() // ends the placement before the client sends
		eventually(t, "the placement ends", func() bool { return len(dispatcher.outcomes()) == 2 })
		client.send("3")
		client.expect("a:3")
		if endpoints.count("a") != 2 || endpoints.count("b") != 1 {
			t.Errorf("a got %d datagrams, b %d, want 2 and 1", endpoints.count("a"), endpoints.count("b"))
		}
	})
}

// If an endpoint's port is closed, its datagrams are refused: the placement ends with the outcome
// Reset, and the flow is placed again.
func TestRefusedFlowIsPlacedAgain(t *testing.T) {
	const maxLost = 200 // datagrams that may be lost before the refusal is detected
	forEachSocketMode(t, func(t *testing.T, mode configure) {
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
				t.Fatal("the flow was not placed again")
			}
			return false
		})
		if ended := dispatcher.outcomes(); len(ended) != 1 || ended[0] != balance.Reset {
			t.Errorf("the placements ended with %v, want one Reset", ended)
		}
	})
}

// Datagrams wait for the flow's placement. A full queue drops the oldest datagram for a new one,
// and a rejected flow drops its datagrams. The counts stay consistent.
func TestQueueDropsOldestWhileWaiting(t *testing.T) {
	listener, dispatcher, _ := startListener(t, nil)
	dispatcher.placeAt("")
	client := dial(t, listener)
	for _, datagram := range []string{"1", "2", "3", "4", "5"} {
		client.send(datagram)
	}
	eventually(t, "all datagrams arrive and the placement is requested", func() bool {
		return listener.Counts.In.Load() == 5 && len(dispatcher.submissions()) > 0
	})
	submitted := dispatcher.submissions()
	if dropped := listener.Counts.Queue.Load(); len(submitted) != 1 || dropped != 2 {
		t.Fatalf("%d placements requested, %d datagrams dropped, want 1 and 2", len(submitted), dropped)
	}
	listener.StartAttempt(submitted[0], 0, "a", time.Now().Add(time.Second))
	for _, datagram := range []string{"3", "4", "5"} {
		client.expect("a:" + datagram)
	}

	dispatcher.mu.Lock()
	dispatcher.reject = true
	dispatcher.mu.Unlock()
	dial(t, listener).send("1")
	eventually(t, "the flow is rejected", func() bool { return listener.Counts.Refused.Load() == 1 })
	checkBalance(t, &listener.Counts)
	if known, bound := listener.Len(); known != 1 || bound != 1 {
		t.Errorf("%d flows known, %d with a socket, want 1 and 1", known, bound)
	}
}

// An endpoint drains while thousands of flows wait for their placement, and half of them are then
// placed there: no datagram reaches the endpoint and none is lost. A client with a new port opens
// a new flow.
func TestDrainWhileMostFlowsWait(t *testing.T) {
	const (
		flows     = 2000
		burstSize = 100 // the sockets' buffers hold about 200 datagrams
	)
	manyFlows := func(options *Options) {
		options.Table.Entries = 2 * flows
		options.Sockets = 2 * flows
		options.QueueBudget.Count = 2 * flows
		options.NewFlows.Burst = 2 * flows
		options.Deadline = time.Minute
	}
	forEachSocketMode(t, func(t *testing.T, mode configure) {
		listener, dispatcher, endpoints := startListener(t, mode.and(manyFlows))
		dispatcher.placeAt("")
		clients := make([]testClient, flows)
		for i := range clients {
			clients[i] = dial(t, listener)
			clients[i].send(fmt.Sprint(i))
			if sent := i + 1; sent%burstSize == 0 {
				eventually(t, "the datagrams are read", func() bool {
					return listener.Counts.In.Load() == int64(sent)
				})
			}
		}
		eventually(t, "all placements are requested", func() bool {
			return len(dispatcher.submissions()) == flows
		})

		dispatcher.mu.Lock()
		dispatcher.endpointID, dispatcher.retryAt = "b", "b"
		dispatcher.mu.Unlock()
		endpoints.setDraining("a")
		listener.EndpointsChanged()
		establishAlternately(t, listener, dispatcher.submissions(), func(established int) {
			if established%burstSize == 0 {
				eventually(t, "the datagrams arrive", func() bool {
					return endpoints.count("b") == established
				})
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
			t.Errorf("%d datagrams reached the draining endpoint, %d flows opened, %d dropped",
				n, opened, dropped)
		}
	})
}

// establishAlternately starts attempts at a and b alternately, and calls started with the number of
// attempts after each one.
func establishAlternately(
	t *testing.T, listener *Listener, placements []dispatch.Placement, started func(int),
) {
	t.Helper()
	for i, placement := range placements {
		endpointID := []string{"a", "b"}[i%2]
		listener.StartAttempt(placement, 0, endpointID, placement.PlacementRequest().Deadline)
		started(i + 1)
	}
}

// An idle flow expires and its socket is closed. The client's next datagram opens a new flow.
func TestIdleFlowExpiresWithItsSocket(t *testing.T) {
	shortTimeout := func(options *Options) { options.Table.IdleTimeout = 64 * time.Millisecond }
	forEachSocketMode(t, func(t *testing.T, mode configure) {
		listener, _, endpoints := startListener(t, mode.and(shortTimeout))
		client := dial(t, listener)
		client.send("1")
		client.expect("a:1")
		eventually(t, "the flow expires", func() bool {
			known, bound := listener.Len()
			return known == 0 && bound == 0
		})
		client.send("2")
		client.expect("a:2")
		if opened := listener.Counts.Opened.Load(); opened != 2 || endpoints.count("a") != 2 {
			t.Errorf("%d flows opened, %d datagrams arrived, want 2 and 2", opened, endpoints.count("a"))
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
