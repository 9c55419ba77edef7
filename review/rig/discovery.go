package rig

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeat is how often a watch without changes carries an empty line.
const heartbeat = 2 * time.Second

// Instance is one entry of discovery's list.
type Instance struct {
	ID        string  `json:"instanceId"`
	HostPort  string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"startedAtMs"`
}

// message is what discovery writes: the whole list, or the changes since the previous message.
type message struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []Instance `json:"instances"`
}

// Discovery is the discovery service.
type Discovery struct {
	Addr string

	c        *Case
	listener net.Listener

	mu         sync.Mutex
	generation int64
	changes    []message // each with one entry
	listed     map[string]Instance
	changed    chan struct{} // closed at the next change
	watches    map[*net.TCPConn]bool
	queueTime  time.Duration // how long a call waits before it ends in 503; 0 if calls are served
}

// NewDiscovery starts a discovery service with an empty list.
func NewDiscovery(c *Case) (*Discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{Addr: listener.Addr().String(), c: c, listener: listener, listed: map[string]Instance{},
		changed: make(chan struct{}), watches: map[*net.TCPConn]bool{}}
	c.Cleanup(func() { _ = listener.Close() })
	go d.accept()
	return d, nil
}

// Set adds an entry to the list or changes it. The lifecycle left removes it.
func (d *Discovery) Set(entry Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	d.changes = append(d.changes, message{Generation: d.generation, Instances: []Instance{entry}})
	d.listed[entry.ID] = entry
	if entry.Lifecycle == "left" {
		delete(d.listed, entry.ID)
	}
	close(d.changed)
	d.changed = make(chan struct{})
	d.c.Record("discovery has: generation %d, %s %s at %s", d.generation, entry.ID, entry.Lifecycle, entry.HostPort)
}

// SetCrowded makes each call wait for queueTime and end in 503, as with too many callers. With 0, calls
// are served again.
func (d *Discovery) SetCrowded(queueTime time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queueTime = queueTime
	d.c.Record("discovery: calls wait %v and end in 503 (0s: calls are served)", queueTime)
}

// ResetWatches resets all open watches.
func (d *Discovery) ResetWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for conn := range d.watches {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
	d.c.Record("discovery: %d open watches reset", len(d.watches))
}

func (d *Discovery) accept() {
	for {
		conn, err := d.listener.Accept()
		if err != nil {
			return
		}
		go d.serve(conn.(*net.TCPConn))
	}
}

// serve answers one call.
func (d *Discovery) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	isWatch := request.FormValue("watch") == "1"
	from, _ := strconv.ParseInt(request.FormValue("from"), 10, 64)
	d.mu.Lock()
	queueTime := d.queueTime
	if isWatch && queueTime == 0 {
		d.watches[conn] = true
	}
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		delete(d.watches, conn)
		d.mu.Unlock()
	}()
	if queueTime > 0 {
		time.Sleep(queueTime)
		_, _ = fmt.Fprint(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		d.c.Record("discovery: call from generation %d ended in 503", from)
		return
	}
	d.c.Record("discovery: call from generation %d served", from)
	if _, err := fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"+
		"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
		return
	}
	if !isWatch {
		text, _, _ := d.since(0)
		_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n0\r\n\r\n", len(text), text)
		return
	}
	d.watch(conn, from)
}

// watch writes changes and heartbeats until the connection ends.
func (d *Discovery) watch(conn net.Conn, from int64) {
	for {
		text, generation, changed := d.since(from)
		if text != "" {
			if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text); err != nil {
				return
			}
			from = generation
		}
		select {
		case <-changed:
		case <-time.After(heartbeat):
			if _, err := fmt.Fprint(conn, "1\r\n\n\r\n"); err != nil {
				return
			}
		}
	}
}

// since returns the message for a node that has the list of generation from, or no text if that is the
// current one, and a channel that is closed at the next change.
func (d *Discovery) since(from int64) (text string, generation int64, changed <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := message{Generation: d.generation, Instances: []Instance{}}
	switch {
	case from == d.generation:
		return "", from, d.changed
	case from <= 0 || from > d.generation:
		next.Reset = true
		for _, entry := range d.listed {
			next.Instances = append(next.Instances, entry)
		}
	default:
		for _, change := range d.changes {
			if change.Generation > from {
				next.Instances = append(next.Instances, change.Instances...)
			}
		}
	}
	raw, err := json.Marshal(next)
	if err != nil {
		return "", from, d.changed
	}
	return string(raw) + "\n", d.generation, d.changed
}
