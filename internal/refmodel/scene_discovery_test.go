package refmodel_test

// A scene's discovery, which is really asked: watches fall silent and calls fail, and
// what it has counts as told in the end, whether or not it came.

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/discovery"
	"coralrelay/internal/refmodel"
)

// board is discovery. Its fields are under the scene's lock.
type board struct {
	s       *scene
	watches map[net.Conn]chan string // those that are told of changes
	hushed  time.Time                // when all fell silent last
	spoilt  bool                     // its last call was: of two in a row one is answered
	lists   int                      // whole lists told
}

// hush has all watches fall silent, unless they just did.
func (d *board) hush() bool {
	d.s.mu.Lock()
	defer d.s.mu.Unlock()
	if time.Since(d.hushed) < 8*time.Second {
		return false
	}
	d.hushed = time.Now()
	clear(d.watches)
	return true
}

// instances words entries as discovery has them.
func instances(entries ...discovery.Endpoint) string {
	var list []string
	for _, e := range entries {
		list = append(list, fmt.Sprintf(`{"instanceId":%q,"hostPort":"%s:1","zone":%q,"cell":%d,"lifecycle":%q,"startedAtMs":%d}`,
			e.ID, e.Addr, e.Zone, e.Cell, []string{"active", "leaving", "left"}[e.State], e.StartedAt/ms))
	}
	return strings.Join(list, ",")
}

// changed has the watches told of changes.
func (d *board) changed(entries ...discovery.Endpoint) {
	d.s.mu.Lock()
	defer d.s.mu.Unlock()
	for _, w := range d.watches {
		w <- fmt.Sprintf(`{"generation":2,"instances":[%s]}`+"\n", instances(entries...))
	}
}

func (d *board) dial(context.Context, string, time.Time) (net.Conn, error) {
	near, far := net.Pipe()
	d.s.ends.Go(func() {
		defer far.Close()
		r := bufio.NewReader(far)
		for line := ""; line != "\r\n"; {
			var err error
			if line, err = r.ReadString('\n'); err != nil {
				return
			}
		}
		d.answer(far)
		_, _ = io.Copy(io.Discard, r) // silent until the node has enough of it
	})
	return near, nil
}

// answer takes a call, and then tells of changes until the watch falls silent.
func (d *board) answer(far net.Conn) {
	d.s.mu.Lock()
	if d.spoilt = !d.spoilt && d.s.rng.IntN(3) == 0; d.spoilt {
		hangs := d.s.rng.IntN(2) == 0
		d.s.mu.Unlock()
		if !hangs {
			fmt.Fprint(far, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
			far.Close()
		}
		return
	}
	var all []discovery.Endpoint
	for _, f := range d.s.feeds {
		all = append(all, f.entry)
	}
	changes := make(chan string, 1000)
	d.watches[far] = changes
	d.lists++
	d.s.mu.Unlock()
	defer func() {
		d.s.mu.Lock()
		delete(d.watches, far)
		d.s.mu.Unlock()
	}()
	word := fmt.Sprintf("HTTP/1.1 200 OK\r\n\r\n"+`{"generation":1,"reset":true,"instances":[%s]}`+"\n", instances(all...))
	for {
		d.s.mu.Lock()
		silent := d.watches[far] == nil
		d.s.mu.Unlock()
		if silent {
			return
		}
		if _, err := io.WriteString(far, word); err != nil {
			return
		}
		select {
		case word = <-changes:
		case <-time.After(2 * time.Second):
			word = "\n"
		}
	}
}

// sink is how a node takes what discovery tells it: into the book first.
type sink struct {
	s *scene
	n *node
}

func (k sink) UpdateEndpoints(u discovery.Update) {
	if u.Kind == balance.ListFull || u.Kind == balance.ListDelta {
		k.s.note(func(b *refmodel.Checker, now time.Duration) {
			for _, e := range u.Endpoints {
				b.NodeNotified(now, e.ID, refmodel.ServerState(e.State), 0)
			}
		})
		k.n.hops.Update(u.Kind == balance.ListFull, u.Endpoints, time.Now())
	}
	k.n.core.UpdateEndpoints(u.ListUpdate())
}
