package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// newSubsetBalancer returns the Balancer of one instance with the given number of ready servers.
func newSubsetBalancer(t *testing.T, instance, instances, servers, probeConnections int) *Balancer {
	t.Helper()
	b, err := New(uint64(instance)+1, Settings{
		Instance:      instance,
		Instances:     instances,
		Classes:       []Class{{Name: "feed", Deadline: time.Second}},
		Limits:        Limits{ProbesAllowed: true, ProbeConnections: probeConnections},
		LoadReporting: LoadReporting{InProbeResults: true},
	})
	if err != nil {
		t.Fatal(err)
	}
	entries := make([]ServerEntry, servers)
	for i := range entries {
		entries[i] = ServerEntry{ID: fmt.Sprintf("s-%05d", i), Zone: fmt.Sprint("z", i%3)}
	}
	rand.Shuffle(servers, func(i, j int) { // lists are unordered
		entries[i], entries[j] = entries[j], entries[i]
	})
	b.Handle(time.Hour, ListUpdate{Kind: ListFull, Entries: entries}, nil)
	return b
}

// In fleets of usual size, an instance draws from all servers. In larger fleets it draws from half as many as
// it has probe connections, or from more if there are few instances, so that enough instances draw from each
// server.
func TestSubsetSize(t *testing.T) {
	tests := []struct{ instances, servers, probeConnections, want int }{
		{300, 80, 128, 80},
		{300, 128, 128, 128},
		{300, 129, 128, 64},
		{300, 1280, 128, 69},
		{300, 3200, 200, 171},
		{900, 3200, 200, 100},
		{24, 1280, 128, 854},
		{1, 1280, 128, 1280},
		{300, 3200, 0, 3200},
		{300, 0, 128, 0},
	}
	for _, tt := range tests {
		b := newSubsetBalancer(t, 7, tt.instances, tt.servers, tt.probeConnections)
		if got := b.drawSubset().size; got != tt.want {
			t.Errorf("%+v: the subset has %d servers", tt, got)
		}
	}
}

// The subsets of all instances together must contain every server equally often, whatever the order of the
// list.
func TestSubsetsCoverFleetEvenly(t *testing.T) {
	const instances, servers, probeConnections = 60, 480, 128
	covered := map[string]int{}
	for instance := range instances {
		b := newSubsetBalancer(t, instance, instances, servers, probeConnections)
		from := b.drawSubset()
		for index := range from.size {
			covered[b.servers.ring[(from.start+index)%servers].ID]++
		}
	}
	size := (minSubsetOverlap*servers + instances - 1) / instances
	mean := float64(instances*size) / servers
	for id, count := range covered {
		if d := float64(count) - mean; d > 1 || d < -1 {
			t.Errorf("%s is in %d subsets; the mean is %.1f", id, count, mean)
		}
	}
	if len(covered) != servers {
		t.Errorf("%d of %d servers are in a subset", len(covered), servers)
	}
}

// When a server starts or leaves, at most two servers may join a subset.
func TestSubsetsAreStable(t *testing.T) {
	const instances, servers = 300, 1280
	b := newSubsetBalancer(t, 123, instances, servers, 128)
	members := func() map[string]bool {
		all, from := map[string]bool{}, b.drawSubset()
		for index := range from.size {
			all[b.servers.ring[(from.start+index)%len(b.servers.ring)].ID] = true
		}
		return all
	}
	for i := range 200 {
		before := members()
		entry := ServerEntry{ID: fmt.Sprintf("s-%05d", i*5), State: Gone}
		if i%2 == 1 {
			entry = ServerEntry{ID: fmt.Sprint("new", i)}
		}
		b.Handle(time.Hour+time.Duration(i)*time.Second,
			ListUpdate{Kind: ListDelta, Entries: []ServerEntry{entry}}, nil)
		joined := 0
		for id := range members() {
			if !before[id] {
				joined++
			}
		}
		if joined > 2 {
			t.Errorf("step %d: %d servers joined the subset", i, joined)
		}
	}
}

// If no server of the subset is allowed for a request, it draws from all ready servers.
func TestDrawsOutsideSubsetIfItHasNoAllowedServer(t *testing.T) {
	b := newSubsetBalancer(t, 5, 300, 1280, 128)
	from := b.drawSubset()
	r := &request{class: &Class{}}
	for index := range from.size {
		r.excludedServers = append(r.excludedServers, b.servers.ring[(from.start+index)%len(b.servers.ring)])
	}
	if s := b.drawServer(r); s == nil {
		t.Error("no server was drawn from outside the subset")
	}
}
