package standin

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeat is how often discovery writes an empty line on a watch on which nothing changes.
const heartbeat = 2 * time.Second

// Entry is an entry of the endpoint list.
type Entry struct {
	ID        string  `json:"instanceId"`
	HostPort  string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Machine   string  `json:"machineType"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"startedAtMs"`
}

// List is a message of discovery: the whole list, or changes.
type List struct {
	Generation int64   `json:"generation"`
	Reset      bool    `json:"reset"`
	Instances  []Entry `json:"instances"`
}

// Discovery is a stand-in of discovery.
type Discovery struct {
	Addr string

	c        *Case
	mu       sync.Mutex
	changes  []Entry // the n-th change made generation n+1
	current  map[string]Entry
	changed  chan struct{} // closed at the next change
	listener net.Listener
	watches  map[net.Conn]bool
	spoilt   bool // the next answer is spoilt
	stuck    bool // the next change on a watch never ends
	told     map[string]time.Time
}

// NewDiscovery starts discovery with an empty list.
func NewDiscovery(c *Case) (*Discovery, error) {
	d := &Discovery{c: c, Addr: "127.0.0.1:0", current: map[string]Entry{}, changed: make(chan struct{}),
		watches: map[net.Conn]bool{}, told: map[string]time.Time{}}
	if err := d.Up(); err != nil {
		return nil, err
	}
	c.Defer(d.Down)
	return d, nil
}

// Up starts the process of discovery, at the address that it had before.
func (d *Discovery) Up() error {
	listener, err := net.Listen("tcp", d.Addr)
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.listener, d.Addr = listener, listener.Addr().String()
	d.mu.Unlock()
	d.c.Log("discovery", "listens at %s", d.Addr)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go d.serve(conn)
		}
	}()
	return nil
}

// Down ends the process of discovery: watches are reset, and connections are refused.
func (d *Discovery) Down() {
	d.mu.Lock()
	_ = d.listener.Close()
	d.mu.Unlock()
	d.ResetWatches()
	d.c.Log("discovery", "is down")
}

// ResetWatches resets all open watches.
func (d *Discovery) ResetWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.c.Log("discovery", "resets %d watches", len(d.watches))
	for conn := range d.watches {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

// Set changes an entry of the list.
func (d *Discovery) Set(id, addr, lifecycle string) {
	d.SetAll(lifecycle, []*Server{{ID: id, Addr: addr}})
}

// SetAll changes the entries of servers at once.
func (d *Discovery) SetAll(lifecycle string, servers []*Server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, server := range servers {
		d.set(server.ID, server.Addr, lifecycle)
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// set changes an entry. d.mu must be held.
func (d *Discovery) set(id, addr, lifecycle string) {
	entry := Entry{ID: id, HostPort: addr, Zone: "poa-1", Machine: "fast-3", Lifecycle: lifecycle, Weight: 1}
	d.changes = append(d.changes, entry)
	d.current[id] = entry
	d.c.Log("discovery", "has %s as %s, generation %d", id, lifecycle, len(d.changes))
}

// Whole returns the whole list.
func (d *Discovery) Whole() List {
	list, _ := d.since(0)
	return list
}

// ToldAt returns when discovery had first written to a node that an endpoint is leaving.
func (d *Discovery) ToldAt(id string) (at time.Time, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, ok = d.told[id]
	return at, ok
}

// since returns what has changed since a generation, and a channel that is closed at the next change.
func (d *Discovery) since(from int) (list List, changed <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	list = List{Generation: int64(len(d.changes)), Instances: []Entry{}}
	if from <= 0 || from > len(d.changes) {
		list.Reset = true
		for _, entry := range d.current {
			list.Instances = append(list.Instances, entry)
		}
	} else {
		list.Instances = append(list.Instances, d.changes[from:]...)
	}
	return list, d.changed
}

// serve answers one call.
func (d *Discovery) serve(conn net.Conn) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	from, _ := strconv.Atoi(request.FormValue("from"))
	d.c.Log("discovery", "call %s", request.URL)
	if d.takeSpoilt() {
		d.answerWithoutEnd(conn)
		return
	}
	d.setWatch(conn, true)
	defer d.setWatch(conn, false)
	_, err = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
	for first := true; err == nil; first = false {
		list, changed := d.since(from)
		if first || int(list.Generation) != from {
			if !first && d.takeStuck() {
				d.writeWithoutEnd(conn, list)
				return
			}
			err = d.write(conn, list)
			from = int(list.Generation)
		}
		if request.FormValue("watch") != "1" {
			_, _ = fmt.Fprint(conn, "0\r\n\r\n")
			return
		}
		select {
		case <-changed:
		case <-time.After(heartbeat):
			_, err = fmt.Fprint(conn, "1\r\n\n\r\n")
		}
	}
	if !errors.Is(err, net.ErrClosed) {
		d.c.Log("discovery", "watch ended: %v", err)
	}
}

func (d *Discovery) setWatch(conn net.Conn, open bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if open {
		d.watches[conn] = true
	} else {
		delete(d.watches, conn)
	}
}

// write writes a message on a watch, and notes which endpoints it has told to be leaving.
func (d *Discovery) write(conn net.Conn, list List) error {
	text, err := json.Marshal(list)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(conn, "%x\r\n%s\n\r\n", len(text)+1, text); err != nil {
		return err
	}
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, entry := range list.Instances {
		if _, known := d.told[entry.ID]; entry.Lifecycle != "active" && !known {
			d.told[entry.ID] = now
			d.c.Log("discovery", "has told that %s is %s", entry.ID, entry.Lifecycle)
		}
	}
	return nil
}
