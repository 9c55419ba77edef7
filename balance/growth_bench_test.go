package balance

import (
	"fmt"
	"testing"
	"time"
)

// fleetSizes are the numbers of servers at which the cost of operations on the whole server list is measured.
var fleetSizes = []int{20, 80, 320, 1280, 3200}

// newListedBalancer returns a Balancer with the given number of ready servers, and the entries of its list.
func newListedBalancer(b *testing.B, servers int) (*Balancer, []ServerEntry) {
	b.Helper()
	settings := testSettings()
	settings.Instances, settings.Limits.ProbeConnections = 300, 128
	balancer, err := New(1, settings)
	if err != nil {
		b.Fatal(err)
	}
	ids := make([]string, servers)
	for i := range ids {
		ids[i] = fmt.Sprint("s", i)
	}
	entries := readyEntries(ids...)
	balancer.Handle(0, ListUpdate{Kind: ListFull, Entries: entries}, nil)
	return balancer, entries
}

// BenchmarkFullList measures a complete list that changes nothing. The cost may grow with the list.
func BenchmarkFullList(b *testing.B) {
	for _, servers := range fleetSizes {
		b.Run(fmt.Sprint(servers, "servers"), func(b *testing.B) {
			balancer, entries := newListedBalancer(b, servers)
			b.ReportAllocs()
			for b.Loop() {
				balancer.Handle(time.Second, ListUpdate{Kind: ListFull, Entries: entries}, nil)
			}
		})
	}
}

// BenchmarkListChange measures the removal of a server and its return. The cost must hardly grow with the
// list.
func BenchmarkListChange(b *testing.B) {
	for _, servers := range fleetSizes {
		b.Run(fmt.Sprint(servers, "servers"), func(b *testing.B) {
			balancer, entries := newListedBalancer(b, servers)
			gone := entries[servers/2]
			gone.State = Gone
			b.ReportAllocs()
			for b.Loop() {
				balancer.Handle(time.Second, ListUpdate{Kind: ListDelta, Entries: []ServerEntry{gone}}, nil)
				balancer.Handle(time.Second, ListUpdate{
					Kind: ListDelta, Entries: entries[servers/2 : servers/2+1]}, nil)
			}
		})
	}
}

// BenchmarkMaintenance measures the work that is done four or five times a second even without any traffic.
func BenchmarkMaintenance(b *testing.B) {
	for _, servers := range fleetSizes {
		b.Run(fmt.Sprint(servers, "servers"), func(b *testing.B) {
			balancer, _ := newListedBalancer(b, servers)
			now := time.Second
			b.ReportAllocs()
			for b.Loop() {
				now += maintenanceInterval
				balancer.Handle(now, TimerFired{Token: maintenanceToken}, nil)
				balancer.AvoidedServers()
			}
		})
	}
}
