package fake

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// defaultZone is the zone of the servers that SetZone has set none for.
	defaultZone = "a"
	// watchHeartbeat is how long a watch is idle before it sends an empty line.
	watchHeartbeat = 2 * time.Second
)

// The lifecycles of an instance.
const (
	Active  = "active"
	Leaving = "leaving"
	Left    = "left"
)

// Instance is one entry of the endpoint list in discovery's JSON.
type Instance struct {
	ID        string  `json:"instanceId"`
	HostPort  string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"startedAtMs"`

	addrs map[string]string // by node
}

// update is what discovery sends: the full list where Reset is set, else the changes.
type update struct {
	Generation int64      `json:"generation"`
	Instances  []Instance `json:"instances"`
	Reset      bool       `json:"reset"`
}

// change is one change of the list.
type change struct {
	at         time.Time
	generation int64
	instance   Instance
}

// Discovery is the service that has the endpoint list. Each node polls it at an address of its own,
// so that it is known what each node was notified of, and when.
type Discovery struct {
	mu         sync.Mutex
	generation int64
	instances  map[string]Instance
	zones      map[string]string // by server
	changes    []change
	changed    chan struct{}                   // closed at the next change
	notifiedAt map[string]map[string]time.Time // by node and server: when it was notified that it leaves
	writes     map[string][]Write              // by node
	troubles   map[string]DiscoveryFault       // by node
	servers    []*http.Server

	isCrowded atomic.Bool
}

// NewDiscovery returns a discovery with an empty list.
func NewDiscovery() *Discovery {
	return &Discovery{
		instances:  map[string]Instance{},
		zones:      map[string]string{},
		changed:    make(chan struct{}),
		notifiedAt: map[string]map[string]time.Time{},
		writes:     map[string][]Write{},
		troubles:   map[string]DiscoveryFault{},
	}
}

// Listen opens the address at which node polls.
func (d *Discovery) Listen(node string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("discovery for node %s: %w", node, err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", func(w http.ResponseWriter, r *http.Request) { d.serve(node, w, r) })
	s := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	d.mu.Lock()
	d.servers = append(d.servers, s)
	d.notifiedAt[node] = map[string]time.Time{}
	d.mu.Unlock()
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

// Close ends all watches and listeners.
func (d *Discovery) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.servers {
		_ = s.Close()
	}
}

// SetZone sets the zone of a server before it is listed. Without it a server is in zone a.
func (d *Discovery) SetZone(id, zone string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.zones[id] = zone
}

// Set adds an instance to the list or changes it; Left removes it. addrs are the server's addresses
// by node; nil keeps them.
func (d *Discovery) Set(id, lifecycle string, started time.Time, addrs map[string]string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	instance := d.instances[id]
	instance.ID, instance.Lifecycle, instance.Weight = id, lifecycle, 1
	instance.Zone = cmp.Or(d.zones[id], defaultZone)
	if addrs != nil {
		instance.addrs = addrs
	}
	instance.StartedMs = 0
	if !started.IsZero() {
		instance.StartedMs = started.UnixMilli()
	}
	d.generation++
	d.changes = append(d.changes, change{time.Now(), d.generation, instance})
	d.instances[id] = instance
	if lifecycle == Left {
		delete(d.instances, id)
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// updateSince returns the update for a node that has the list of generation from, and a channel
// that is closed at the next change.
func (d *Discovery) updateSince(node string, from int64) (u update, changed <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	u = update{Generation: d.generation, Instances: []Instance{}}
	if from <= 0 || from > d.generation {
		u.Reset = true
		for _, instance := range d.instances {
			u.Instances = append(u.Instances, instance)
		}
	} else {
		for _, c := range d.changes {
			if c.generation > from {
				u.Instances = append(u.Instances, c.instance)
			}
		}
	}
	for i := range u.Instances {
		u.Instances[i].HostPort = u.Instances[i].addrs[node]
	}
	return u, d.changed
}

// serve answers one poll, and goes on with changes and heartbeats if it is a watch.
func (d *Discovery) serve(node string, w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseInt(r.FormValue("from"), 10, 64)
	isWatch := r.FormValue("watch") == "1"
	if !isWatch {
		from = 0
	}
	if !d.awaitTurn(w, r) {
		return
	}
	flusher, _ := w.(http.Flusher)
	w.Header().Set("Content-Type", "application/json")
	for first := true; ; first = false {
		if trouble := d.trouble(node); trouble != NoDiscoveryFault {
			if first || trouble == Down {
				serveInTrouble(trouble, w, r)
				return
			}
			<-r.Context().Done() // the watch falls silent
			return
		}
		u, changed := d.updateSince(node, from)
		if first || u.Generation != from {
			text, err := json.Marshal(u)
			if err != nil {
				return
			}
			if _, err := fmt.Fprintf(w, "%s\n", text); err != nil {
				return
			}
			flusher.Flush()
			d.recordNotified(node, u) // less than a millisecond late, in the node's favour
			from = u.Generation
		}
		if !isWatch {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-time.After(watchHeartbeat):
			if _, err := fmt.Fprint(w, "\n"); err != nil {
				return
			}
			flusher.Flush()
		}
	}
}
