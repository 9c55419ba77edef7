package refmodel_test

// A simulation's discovery, which the node polls: watches fall silent and calls fail, and a change
// counts as notified in the end, whether or not its notification arrived.

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

// simDiscovery is a discovery service. The simulation's lock guards its fields.
type simDiscovery struct {
	sim            *simulation
	watches        map[net.Conn]chan string // those that are sent changes
	silencedAt     time.Time                // when all watches last fell silent
	lastCallFailed bool                     // of two calls in a row at least one succeeds
	fullLists      int                      // full lists sent
	starvedUntil   time.Time                // no call gets a list before
	starvations    int                      // how often that was so
	rejectsAtOnce  bool                     // meanwhile all calls are rejected at once, as by a full queue
	isDown         bool                     // nobody listens meanwhile
}

// silenceWatches has all watches fall silent, unless they just did.
func (d *simDiscovery) silenceWatches() bool {
	d.sim.mu.Lock()
	defer d.sim.mu.Unlock()
	if time.Since(d.silencedAt) < 8*time.Second {
		return false
	}
	d.silencedAt = time.Now()
	clear(d.watches)
	return true
}

// marshalInstances returns entries in discovery's JSON.
func marshalInstances(entries ...discovery.Endpoint) string {
	var list []string
	for _, e := range entries {
		lifecycle := []string{"active", "leaving", "left"}[e.State]
		list = append(list, fmt.Sprintf(`{"instanceId":%q,"hostPort":"%s:1","zone":%q,"cell":%d,`+
			`"lifecycle":%q,"startedAtMs":%d}`, e.ID, e.Addr, e.Zone, e.Cell, lifecycle, e.StartedAt/ms))
	}
	return strings.Join(list, ",")
}

// broadcast sends changes to the watches.
func (d *simDiscovery) broadcast(entries ...discovery.Endpoint) {
	d.sim.mu.Lock()
	defer d.sim.mu.Unlock()
	for _, w := range d.watches {
		w <- fmt.Sprintf(`{"generation":2,"instances":[%s]}`+"\n", marshalInstances(entries...))
	}
}

// minFed is for how long lists come between two times in which none do.
const minFed = 8 * time.Second

// starve has all watches fall silent, and no call get a list, for a time, unless that was so just now. Now and then
// discovery is down meanwhile: nobody listens.
func (d *simDiscovery) starve(length time.Duration) {
	goesDown := d.sim.chance(0.3)
	d.sim.mu.Lock()
	if time.Since(d.starvedUntil) < minFed {
		d.sim.mu.Unlock()
		return
	}
	d.starvedUntil = time.Now().Add(length)
	d.starvations++
	d.rejectsAtOnce = d.sim.rng.IntN(2) == 0
	d.isDown = goesDown
	clear(d.watches)
	d.sim.mu.Unlock()
	if !goesDown {
		return
	}
	d.sim.record(func(c *refmodel.Checker, now time.Duration) { c.DiscoveryReachabilityChanged(now, false) })
	d.sim.background.Go(func() {
		time.Sleep(length)
		d.sim.record(func(c *refmodel.Checker, now time.Duration) {
			d.isDown = false
			c.DiscoveryReachabilityChanged(now, true)
		})
	})
}

// starvedTreatments is how many ways starveCall has. The first are those that reject a call at once.
const starvedTreatments, promptTreatments = 7, 2

// starveCall treats one call while no list comes: it is never answered, rejected late or at once, reset, or answered in
// part.
func (d *simDiscovery) starveCall(far net.Conn, treatment int) {
	switch treatment {
	case 0:
		fmt.Fprint(far, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		far.Close()
	case 1:
		far.Close()
	case 2:
	case 3:
		time.Sleep(1500 * ms)
		fmt.Fprint(far, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		far.Close()
	case 4:
		fmt.Fprint(far, "HTTP/1.1 200 OK\r\n\r\n")
	case 5:
		fmt.Fprint(far, "HTTP/1.1 200 OK\r\n\r\n{\"generation\":1,\"reset\":true,\"inst")
	default:
		fmt.Fprint(far, "HTTP/1.1 200 OK\r\n\r\n{\"generation\":1,\"reset\":true}\n")
	}
}

func (d *simDiscovery) dial(context.Context, string, time.Time) (net.Conn, error) {
	d.sim.mu.Lock()
	isDown := d.isDown
	d.sim.mu.Unlock()
	if isDown {
		return nil, errRefused
	}
	near, far := net.Pipe()
	d.sim.background.Go(func() {
		defer far.Close()
		r := bufio.NewReader(far)
		for line := ""; line != "\r\n"; {
			var err error
			if line, err = r.ReadString('\n'); err != nil {
				return
			}
		}
		d.serveWatch(far)
		_, _ = io.Copy(io.Discard, r) // silent until the node gives up
	})
	return near, nil
}

// serveWatch answers a call, and then sends changes until the watch falls silent.
func (d *simDiscovery) serveWatch(far net.Conn) {
	d.sim.mu.Lock()
	if time.Now().Before(d.starvedUntil) {
		treatments := starvedTreatments
		if d.rejectsAtOnce {
			treatments = promptTreatments
		}
		treatment := d.sim.rng.IntN(treatments)
		d.sim.mu.Unlock()
		d.starveCall(far, treatment)
		return
	}
	if d.lastCallFailed = !d.lastCallFailed && d.sim.rng.IntN(3) == 0; d.lastCallFailed {
		hangs := d.sim.rng.IntN(2) == 0
		d.sim.mu.Unlock()
		if !hangs {
			fmt.Fprint(far, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
			far.Close()
		}
		return
	}
	var all []discovery.Endpoint
	for _, f := range d.sim.servers {
		all = append(all, f.endpoint)
	}
	changes := make(chan string, 1000)
	d.watches[far] = changes
	d.fullLists++
	d.sim.mu.Unlock()
	defer func() {
		d.sim.mu.Lock()
		delete(d.watches, far)
		d.sim.mu.Unlock()
	}()
	text := "HTTP/1.1 200 OK\r\n\r\n" +
		fmt.Sprintf(`{"generation":1,"reset":true,"instances":[%s]}`+"\n", marshalInstances(all...))
	for {
		d.sim.mu.Lock()
		silent := d.watches[far] == nil
		d.sim.mu.Unlock()
		if silent {
			return
		}
		if _, err := io.WriteString(far, text); err != nil {
			return
		}
		select {
		case text = <-changes:
		case <-time.After(2 * time.Second):
			text = "\n"
		}
	}
}

// endpointSink reports discovery's updates to the checker, and then to the process.
type endpointSink struct {
	sim     *simulation
	process *process
}

func (k endpointSink) UpdateEndpoints(u discovery.Update) {
	if u.Kind == balance.ListFull || u.Kind == balance.ListDelta {
		k.sim.record(func(c *refmodel.Checker, now time.Duration) {
			for _, e := range u.Endpoints {
				c.NodeNotified(now, e.ID, refmodel.ServerState(e.State), 0)
			}
		})
		k.process.pool.Update(u.Kind == balance.ListFull, u.Endpoints, time.Now())
	}
	k.process.eventLoop.UpdateEndpoints(u.ListUpdate())
}
