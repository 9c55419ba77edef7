package udp

import (
	"fmt"
	"net/netip"
	"sync"
	"testing"

	"coralrelay/internal/flowtable"
)

// Shutdown while clients are sending: the dispatcher is notified of the end of each established
// placement, and every datagram that was read was forwarded or dropped, or is still queued.
func TestShutdownAccountsForEveryDatagram(t *testing.T) {
	forEachSocketMode(t, func(t *testing.T, mode configure) {
		var listeners Listeners
		var dispatcher *fakeDispatcher
		var senders sync.WaitGroup
		stop := make(chan struct{})
		t.Run("serves", func(inner *testing.T) { // the listeners end with the subtest, the senders later
			listeners, dispatcher, _ = startListeners(inner, 2, mode.and(func(options *Options) {
				options.Table.Entries, options.Sockets, options.NewFlows.Burst = 200, 200, 200
			}))
			var clients []testClient
			for range 50 {
				client := dial(t, listeners)
				client.send("0") // establish the flow before the unpaced sending
				client.expect("a:0")
				clients = append(clients, client)
			}
			for _, client := range clients {
				senders.Go(func() { client.sendUntilStopped(stop) })
			}
		})
		close(stop)
		senders.Wait()
		in, out := int64(0), int64(0)
		for _, listener := range listeners {
			waiting := listener.options.QueueBudget.Count - listener.queueBudget.Count
			in += listener.Counts.In.Load()
			out += listener.Counts.Forwarded.Load() + listener.Counts.Dropped() + int64(waiting)
		}
		if in != out {
			t.Errorf("%d datagrams in, %d forwarded, dropped or waiting", in, out)
		}
		ended, established := len(dispatcher.ended), len(dispatcher.established)
		if ended != established || established < 50 {
			t.Errorf("%d placements ended, %d were established", ended, established)
		}
	})
}

// sendUntilStopped sends without a pause until stop is closed. It ignores errors, because writes
// are refused once the listeners have ended.
func (c testClient) sendUntilStopped(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
			_, _ = c.Write([]byte("1"))
		}
	}
}

// Flows are distributed over several listeners at one address. Each listener receives all datagrams
// of its flows, placement IDs are unique across listeners, and no other socket can bind to the
// address.
func TestListenersShareOneAddress(t *testing.T) {
	const (
		flows   = 60
		perFlow = 3
	)
	forEachSocketMode(t, func(t *testing.T, mode configure) {
		listeners, dispatcher, endpoints := startListeners(t, 3, mode.and(func(options *Options) {
			options.Table.Entries, options.Sockets, options.NewFlows.Burst = 300, 300, 300
			options.Table.Policy = flowtable.RefuseNew
		}))
		for i := range flows {
			client := dial(t, listeners)
			for n := range perFlow {
				client.send(fmt.Sprintf("%d.%d", i, n))
				client.expect(fmt.Sprintf("a:%d.%d", i, n))
			}
		}
		checkFlowsAreSpread(t, listeners, flows, perFlow*flows)
		if arrived := endpoints.count("a"); arrived != perFlow*flows {
			t.Errorf("%d datagrams arrived", arrived)
		}
		ids := map[string]bool{}
		for _, placement := range dispatcher.submissions() {
			ids[placement.PlacementRequest().ID] = true
		}
		if len(ids) != flows {
			t.Errorf("%d IDs for %d flows", len(ids), flows)
		}
		for _, count := range []int{1, 2} {
			if more, err := Open(Options{Listen: listeners.Addr()}, count, nil, nil); err == nil {
				t.Errorf("Open(%d) succeeded at an address in use: %v", count, more.Addr())
			}
		}
		endpoints.setDraining("a")
		dispatcher.placeAt("b")
		listeners.EndpointsChanged()
		if _, bound := listeners[0].Len(); bound != 0 {
			t.Error("a flow is still bound to a draining endpoint")
		}
	})
}

func checkFlowsAreSpread(t *testing.T, listeners Listeners, wantKnown int, wantForwarded int64) {
	t.Helper()
	busy, known, forwarded := 0, 0, int64(0)
	for _, listener := range listeners {
		flows, _ := listener.Len()
		known += flows
		if flows > 0 {
			busy++
		}
		forwarded += listener.Counts.Forwarded.Load()
	}
	if busy < 2 || known != wantKnown || forwarded != wantForwarded {
		t.Errorf("%d listeners have flows, %d flows in total, %d datagrams forwarded", busy, known, forwarded)
	}
}

// Each listener has an equal part of the limits, at least 1 where 0 would block all flows.
func TestListenersDivideLimits(t *testing.T) {
	var options Options
	options.Table.Entries = 100
	options.Sockets = 8
	options.QueueBudget = flowtable.QueueBudget{Count: 4, Bytes: 10}
	options.NewFlows = flowtable.Pacer{Rate: 30, Burst: 2}
	third := options.divide(3)
	if third.Table.Entries != 34 || third.Sockets != 2 {
		t.Errorf("%d flows, %d sockets, want 34 and 2", third.Table.Entries, third.Sockets)
	}
	if want := (flowtable.QueueBudget{Count: 2, Bytes: 4}); third.QueueBudget != want {
		t.Errorf("queue budget %+v, want %+v", third.QueueBudget, want)
	}
	if third.NewFlows.Rate != 10 || third.NewFlows.Burst != 1 {
		t.Errorf("rate %g, burst %g, want 10 and 1", third.NewFlows.Rate, third.NewFlows.Burst)
	}
}

func TestListenersHaveSeparateSourcePorts(t *testing.T) {
	first, second := newSourcePorts(0, 2), newSourcePorts(1, 2)
	if first.first+first.count != second.first {
		t.Errorf("ranges %+v and %+v are not adjacent", first, second)
	}
}

func TestRejectsUnspecifiedAddress(t *testing.T) {
	if _, err := Open(Options{Listen: netip.MustParseAddrPort("0.0.0.0:0")}, 1, nil, nil); err == nil {
		t.Error("Open accepted an unspecified address")
	}
}
