package udp

import (
	"fmt"
	"net/netip"
	"sync"
	"testing"

	"coralrelay/internal/flowtable"
)

// At the end all flows are ended in the middle of what they send: the dispatcher is told of
// each that was established, and every datagram that was read was forwarded or dropped, or
// still waits.
func TestShutdownAccountsForEveryDatagram(t *testing.T) {
	inEachSocketMode(t, func(t *testing.T, mode configure) {
		var listeners Listeners
		var dispatcher *fakeDispatcher
		var senders sync.WaitGroup
		stop := make(chan struct{})
		t.Run("serves", func(inner *testing.T) { // the listeners end with it, the senders later
			listeners, dispatcher, _ = startListeners(inner, 2, mode.and(func(options *Options) {
				options.Table.Entries, options.Sockets, options.NewFlows.Burst = 200, 200, 200
			}))
			var clients []testClient
			for range 50 {
				client := dial(t, listeners)
				client.send("0") // all are placed before they send as fast as they can
				client.expect("a:0")
				clients = append(clients, client)
			}
			for _, client := range clients {
				senders.Go(func() { client.sendAlways(stop) })
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
			t.Errorf("%d in, %d forwarded, dropped or waiting", in, out)
		}
		ended, established := len(dispatcher.ended), len(dispatcher.established)
		if ended != established || established < 50 {
			t.Errorf("%d ended of %d that were established", ended, established)
		}
	})
}

// sendAlways sends as fast as it can, also when the listeners have ended and refuse it.
func (c testClient) sendAlways(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
			_, _ = c.Write([]byte("1"))
		}
	}
}

// Several listeners at one address each take some flows, all datagrams of a flow, with IDs
// that no other has. Nobody else can listen there.
func TestListenersShareOneAddress(t *testing.T) {
	const (
		flows   = 60
		perFlow = 3
	)
	inEachSocketMode(t, func(t *testing.T, mode configure) {
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
			t.Errorf("%d arrived", arrived)
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
				t.Errorf("%d more at the same address: %v", count, more.Addr())
			}
		}
		endpoints.setDraining("a")
		dispatcher.placeAt("b")
		listeners.EndpointsChanged()
		if _, bound := listeners[0].Len(); bound != 0 {
			t.Error("a listener was not told of a drain")
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
		t.Errorf("%d listeners have flows, %d in all, %d forwarded", busy, known, forwarded)
	}
}

// Each listener has its part of the limits, rounded up where it must not be 0.
func TestListenersShareTheLimits(t *testing.T) {
	var options Options
	options.Table.Entries = 100
	options.Sockets = 8
	options.QueueBudget = flowtable.QueueBudget{Count: 4, Bytes: 10}
	options.NewFlows = flowtable.Pacer{Rate: 30, Burst: 2}
	third := options.share(3)
	if third.Table.Entries != 34 || third.Sockets != 2 {
		t.Errorf("%d flows, %d sockets", third.Table.Entries, third.Sockets)
	}
	if want := (flowtable.QueueBudget{Count: 2, Bytes: 4}); third.QueueBudget != want {
		t.Errorf("queue budget %+v, want %+v", third.QueueBudget, want)
	}
	if third.NewFlows.Rate != 10 || third.NewFlows.Burst != 1 {
		t.Errorf("%g new flows a second, %g at once", third.NewFlows.Rate, third.NewFlows.Burst)
	}
}

func TestListenersHaveSourcePortsOfTheirOwn(t *testing.T) {
	first, second := newSourcePorts(0, 2), newSourcePorts(1, 2)
	if first.first+first.count != second.first {
		t.Errorf("ports %+v and %+v", first, second)
	}
}

func TestRejectsUnspecifiedAddress(t *testing.T) {
	if _, err := Open(Options{Listen: netip.MustParseAddrPort("0.0.0.0:0")}, 1, nil, nil); err == nil {
		t.Error("replies would come from anywhere")
	}
}
