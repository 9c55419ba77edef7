// Package standin has the scripted parties that a node is run against: roster,
// feed servers, clients. They speak the published protocol on loopback, and tell
// what they saw; they never ask the node.
package fake

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Instance is one entry of the roster, in its own form.
type Instance struct {
	ID        string  `json:"instanceId"`
	HostPort  string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"startedAtMs"`
	addrs     map[string]string
}

// The lifecycles.
const (
	Active  = "active"
	Leaving = "leaving"
	Left    = "left"
)

type change struct {
	generation int64
	entry      Instance
}

// Roster is the list service. Each node asks at an address of its own, so that it
// is known what each was told and when.
type Discovery struct {
	mu         sync.Mutex
	generation int64
	entries    map[string]Instance
	zones      map[string]string // by server, where Place has told one
	changes    []change
	changed    chan struct{}
	told       map[string]map[string]time.Time // by node, then server: when it was told that it leaves
	servers    []*http.Server
}

// NewRoster returns an empty roster.
func NewDiscovery() *Discovery {
	return &Discovery{entries: map[string]Instance{}, zones: map[string]string{}, changed: make(chan struct{}), told: map[string]map[string]time.Time{}}
}

// Listen opens the address at which node asks.
func (r *Discovery) Listen(node string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", func(w http.ResponseWriter, q *http.Request) { r.serve(node, w, q) })
	s := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	r.mu.Lock()
	r.servers = append(r.servers, s)
	r.told[node] = map[string]time.Time{}
	r.mu.Unlock()
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

// Close ends all watches.
func (r *Discovery) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.servers {
		_ = s.Close()
	}
}

// Place says in which zone a server is, before it is listed; a is where all others are.
func (r *Discovery) SetZone(id, zone string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.zones[id] = zone
}

// Set puts an entry into the list or changes it. addrs are the server's addresses,
// one for each node; nil keeps them.
func (r *Discovery) Set(id, lifecycle string, started time.Time, addrs map[string]string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[id]
	e.ID, e.Zone, e.Weight, e.Lifecycle = id, cmp.Or(r.zones[id], "a"), 1, lifecycle
	if addrs != nil {
		e.addrs = addrs
	}
	e.StartedMs = 0
	if !started.IsZero() {
		e.StartedMs = started.UnixMilli()
	}
	r.generation++
	r.changes = append(r.changes, change{r.generation, e})
	if r.entries[id] = e; lifecycle == Left {
		delete(r.entries, id)
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

// Told is when node was told that the server drains or is gone; zero if it was
// not, or has been told since that it is back.
func (r *Discovery) NotifiedAt(node, server string) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.told[node][server]
}

// since returns what a node that has seen from is to be told.
func (r *Discovery) since(node string, from int64) (generation int64, reset bool, list []Instance, more <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if from <= 0 || from > r.generation {
		reset = true
		for _, e := range r.entries {
			list = append(list, e)
		}
	} else {
		for _, c := range r.changes {
			if c.generation > from {
				list = append(list, c.entry)
			}
		}
	}
	for i := range list {
		list[i].HostPort = list[i].addrs[node]
	}
	return r.generation, reset, list, r.changed
}

func (r *Discovery) note(node string, list []Instance) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range list {
		if e.Lifecycle == Active {
			delete(r.told[node], e.ID)
		} else if r.told[node][e.ID].IsZero() {
			r.told[node][e.ID] = now
		}
	}
}

func (r *Discovery) serve(node string, w http.ResponseWriter, q *http.Request) {
	from, _ := strconv.ParseInt(q.FormValue("from"), 10, 64)
	watch := q.FormValue("watch") == "1"
	if !watch {
		from = 0
	}
	flush, _ := w.(http.Flusher)
	w.Header().Set("Content-Type", "application/json")
	for first := true; ; first = false {
		generation, reset, list, more := r.since(node, from)
		if first || generation != from {
			if list == nil {
				list = []Instance{}
			}
			text, err := json.Marshal(map[string]any{"generation": generation, "reset": reset, "instances": list})
			if err != nil {
				return
			}
			if _, err := fmt.Fprintf(w, "%s\n", text); err != nil {
				return
			}
			flush.Flush()
			r.note(node, list) // a moment late, which is to the node's favour by less than a millisecond
			from = generation
		}
		if !watch {
			return
		}
		select {
		case <-more:
		case <-q.Context().Done():
			return
		case <-time.After(2 * time.Second):
			if _, err := fmt.Fprint(w, "\n"); err != nil {
				return
			}
			flush.Flush()
		}
	}
}

// Sleep waits, but not beyond ctx; it is false if ctx ended first.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
