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
	// defaultZone is the zone of servers for which SetZone was not called.
	defaultZone = "a"
	// watchHeartbeat is how long a watch is idle before discovery sends an empty line on it.
	watchHeartbeat = 2 * time.Second
)

// Lifecycles of an instance.
const (
	Active  = "active"
	Leaving = "leaving"
	Left    = "left"
)

// Instance is one entry of the endpoint list in the JSON of discovery.
type Instance struct {
	ID        string  `json:"instanceId"`
	HostPort  string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"startedAtMs"`

	addrs map[string]string // by node
}

// update is a message of discovery: the full list if Reset is true, else the changes.
type update struct {
	Generation int64      `json:"generation"`
	Instances  []Instance `json:"instances"`
	Reset      bool       `json:"reset"`
}

// change is one change of the endpoint list.
type change struct {
	at         time.Time
	generation int64
	instance   Instance
}

// Discovery is a fake discovery service with the endpoint list. Each node polls it at an address of
// its own, so that Discovery can record what each node was notified of, and when.
type Discovery struct {
	mu         sync.Mutex
	generation int64
	instances  map[string]Instance
	zones      map[string]string // by server
	changes    []change
	changed    chan struct{}                   // closed at the next change
	notifiedAt map[string]map[string]time.Time // by node and server: first notice of a drain or removal
	writes     map[string][]Write              // by node
	faults     map[string]DiscoveryFault       // by node
	servers    []*http.Server

	isOverloaded atomic.Bool
}

// NewDiscovery returns a discovery service with an empty endpoint list.
func NewDiscovery() *Discovery {
	return &Discovery{
		instances:  map[string]Instance{},
		zones:      map[string]string{},
		changed:    make(chan struct{}),
		notifiedAt: map[string]map[string]time.Time{},
		writes:     map[string][]Write{},
		faults:     map[string]DiscoveryFault{},
	}
}

// Listen opens the address at which a node polls, and returns it.
func (d *Discovery) Listen(node string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen for polls of node %s: %w", node, err)
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

// SetZone sets the zone of a server. It must be called before Set adds the server to the list. The
// default is zone a.
func (d *Discovery) SetZone(id, zone string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.zones[id] = zone
}

// Set adds an instance to the list or changes it; the lifecycle Left removes it. addrs are the server's
// addresses by node; nil keeps the current ones.
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

// updateSince returns the update for a node whose list is at generation from, and a channel that is
// closed at the next change.
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

// serve answers one poll. If the poll is a watch, serve then sends changes and heartbeats until the
// client disconnects.
func (d *Discovery) serve(node string, w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseInt(r.FormValue("from"), 10, 64)
	isWatch := r.FormValue("watch") == "1"
	if !isWatch {
		from = 0
	}
	if !d.waitInQueue(w, r) {
		return
	}
	flusher, _ := w.(http.Flusher)
	w.Header().Set("Content-Type", "application/json")
	for first := true; ; first = false {
		if fault := d.fault(node); fault != NoDiscoveryFault {
			if first || fault == Down {
				serveFault(fault, w, r)
				return
			}
			<-r.Context().Done() // a faulty watch stays open without sending anything
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
			d.recordNotified(node, u) // less than 1 ms late, which favours the node in checks
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
