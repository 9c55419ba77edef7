package refmodel_test

// The discovery of a simulation, which the node polls. Watches fall silent and calls fail; a change counts
// as notified after a delay, whether or not its notification arrived.

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
	sim                *simulation
	watches            map[net.Conn]chan string // the watches that are sent changes
	silencedAt         time.Time                // when all watches last fell silent
	lastCallFailed     bool                     // if so, the next call succeeds
	fullLists          int                      // number of full lists sent
	starvedUntil       time.Time                // no call gets a list before this time
	starvations        int                      // number of periods without lists
	rejectsImmediately bool                     // until starvedUntil calls are rejected, as by a full queue
	isDown             bool                     // until starvedUntil connects are refused
}

// silenceWatches makes all watches fall silent, unless they did so recently. It returns whether it did.
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

// marshalInstances returns entries in discovery's JSON format.
func marshalInstances(entries ...discovery.Endpoint) string {
	var list []string
	for _, e := range entries {
		lifecycle := []string{"active", "leaving", "left"}[e.State]
		list = append(list, fmt.Sprintf(`{"instanceId":%q,"hostPort":"%s:1","zone":%q,"cell":%d,`+
			`"lifecycle":%q,"startedAtMs":%d}`, e.ID, e.Addr, e.Zone, e.Cell, lifecycle, e.StartedAt/ms))
	}
	return strings.Join(list, ",")
}

// broadcast sends changes to all watches.
func (d *simDiscovery) broadcast(entries ...discovery.Endpoint) {
	d.sim.mu.Lock()
	defer d.sim.mu.Unlock()
	for _, watch := range d.watches {
		watch <- fmt.Sprintf(`{"generation":2,"instances":[%s]}`+"\n", marshalInstances(entries...))
	}
}

// minTimeWithLists is the minimum time between two periods without lists.
const minTimeWithLists = 8 * time.Second

// starve makes all watches fall silent and lets no call get a list for a time, unless the last such period
// ended less than minTimeWithLists ago. At random, discovery also refuses connects in the meantime.
func (d *simDiscovery) starve(length time.Duration) {
	goesDown := d.sim.chance(0.3)
	d.sim.mu.Lock()
	if time.Since(d.starvedUntil) < minTimeWithLists {
		d.sim.mu.Unlock()
		return
	}
	d.starvedUntil = time.Now().Add(length)
	d.starvations++
	d.rejectsImmediately = d.sim.rng.IntN(2) == 0
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

// starvedBehaviors is the number of behaviors of starveCall. The first immediateBehaviors of them reject a
// call at once.
const starvedBehaviors, immediateBehaviors = 7, 2

// starveCall treats one call without sending a list: it never answers it, rejects it late or at once, resets
// it, or answers it in part.
func (d *simDiscovery) starveCall(conn net.Conn, behavior int) {
	switch behavior {
	case 0:
		fmt.Fprint(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		conn.Close()
	case 1:
		conn.Close()
	case 2:
	case 3:
		time.Sleep(1500 * ms)
		fmt.Fprint(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		conn.Close()
	case 4:
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n\r\n")
	case 5:
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n\r\n{\"generation\":1,\"reset\":true,\"inst")
	default:
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n\r\n{\"generation\":1,\"reset\":true}\n")
	}
}

func (d *simDiscovery) dial(context.Context, string, time.Time) (net.Conn, error) {
	d.sim.mu.Lock()
	isDown := d.isDown
	d.sim.mu.Unlock()
	if isDown {
		return nil, errRefused
	}
	nodeConn, conn := net.Pipe()
	d.sim.background.Go(func() {
		defer conn.Close()
		r := bufio.NewReader(conn)
		for line := ""; line != "\r\n"; {
			var err error
			if line, err = r.ReadString('\n'); err != nil {
				return
			}
		}
		d.serveWatch(conn)
		_, _ = io.Copy(io.Discard, r) // stays silent until the node gives up
	})
	return nodeConn, nil
}

// serveWatch answers a call and, if it succeeds, sends changes until the watch falls silent.
func (d *simDiscovery) serveWatch(conn net.Conn) {
	d.sim.mu.Lock()
	if time.Now().Before(d.starvedUntil) {
		behaviors := starvedBehaviors
		if d.rejectsImmediately {
			behaviors = immediateBehaviors
		}
		behavior := d.sim.rng.IntN(behaviors)
		d.sim.mu.Unlock()
		d.starveCall(conn, behavior)
		return
	}
	if d.lastCallFailed = !d.lastCallFailed && d.sim.rng.IntN(3) == 0; d.lastCallFailed {
		hangs := d.sim.rng.IntN(2) == 0
		d.sim.mu.Unlock()
		if !hangs {
			fmt.Fprint(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
			conn.Close()
		}
		return
	}
	var endpoints []discovery.Endpoint
	for _, server := range d.sim.servers {
		endpoints = append(endpoints, server.endpoint)
	}
	changes := make(chan string, 1000)
	d.watches[conn] = changes
	d.fullLists++
	d.sim.mu.Unlock()
	defer func() {
		d.sim.mu.Lock()
		delete(d.watches, conn)
		d.sim.mu.Unlock()
	}()
	text := "HTTP/1.1 200 OK\r\n\r\n" +
		fmt.Sprintf(`{"generation":1,"reset":true,"instances":[%s]}`+"\n", marshalInstances(endpoints...))
	for {
		d.sim.mu.Lock()
		silent := d.watches[conn] == nil
		d.sim.mu.Unlock()
		if silent {
			return
		}
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
		select {
		case text = <-changes:
		case <-time.After(2 * time.Second):
			text = "\n"
		}
	}
}

// endpointSink passes discovery's updates to the checker and then to the process.
type endpointSink struct {
	sim     *simulation
	process *process
}

func (sink endpointSink) UpdateEndpoints(u discovery.Update) {
	if u.Kind == balance.ListFull || u.Kind == balance.ListDelta {
		sink.sim.record(func(c *refmodel.Checker, now time.Duration) {
			for _, e := range u.Endpoints {
				c.NodeNotified(now, e.ID, refmodel.ServerState(e.State), 0)
			}
		})
		sink.process.pool.Update(u.Kind == balance.ListFull, u.Endpoints, time.Now())
	}
	sink.process.eventLoop.UpdateEndpoints(u.ListUpdate())
}
