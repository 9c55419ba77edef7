package refmodel_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// callBehavior is how the fake discovery treats a call.
type callBehavior int

const (
	answersList     callBehavior = iota // sends the full list, then a heartbeat at each interval
	answers503                          // answers with status 503
	neverAnswers                        // sends nothing
	refusesConnect                      // refuses the connection
	connectTimesOut                     // lets the connect time out
	stallsMidList                       // stops in the middle of the list
	answersSlowly                       // sends the list slowly
)

// fakeDiscovery serves one call at a time, and drops calls that have waited longer than queueTimeout.
type fakeDiscovery struct {
	behavior          func(call int) callBehavior // by number of the node's call, from 0; called with mu held
	serviceTime       func() time.Duration        // of one call
	heartbeatInterval func() time.Duration        // of a watch
	queueTimeout      time.Duration
	skipsAbandoned    bool        // calls whose client has gone take no service time
	processesExpired  bool        // calls that time out are answered 503, and take service time all the same
	queueLimit        int         // calls beyond it are answered 503 at once; 0 for no limit
	isDown            atomic.Bool // all calls are answered 503 at once
	queue             chan pendingCall
	goroutines        sync.WaitGroup

	mu            sync.Mutex
	calls         map[string][]time.Time // by node
	silenced      chan struct{}          // closed when all watches fall silent
	closesWatches bool                   // their connections are closed when they fall silent
	lastRequest   map[string]string      // by node
}

// pendingCall is a call in the queue.
type pendingCall struct {
	call      int
	behavior  callBehavior
	arrivedAt time.Time
	conn      net.Conn
	abandoned chan struct{} // closed when its client has gone
	begun     chan struct{} // closed when its answer begins
}

func newFakeDiscovery(behaviorOf func(call int) callBehavior) *fakeDiscovery {
	return &fakeDiscovery{
		behavior:          behaviorOf,
		serviceTime:       func() time.Duration { return 4 * ms },
		heartbeatInterval: func() time.Duration { return 2 * time.Second },
		queueTimeout:      time.Second,
		queue:             make(chan pendingCall, 4096),
		calls:             map[string][]time.Time{},
		lastRequest:       map[string]string{},
		silenced:          make(chan struct{}),
	}
}

func (d *fakeDiscovery) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case pending := <-d.queue:
			isExpired := time.Since(pending.arrivedAt) > d.queueTimeout
			if isExpired && !d.processesExpired || d.skipsAbandoned && pending.isAbandoned() {
				pending.conn.Close()
				continue
			}
			time.Sleep(d.serviceTime())
			if isExpired {
				continue // enqueue answered it when its timeout expired
			}
			close(pending.begun)
			switch pending.behavior {
			case answersList, stallsMidList, answersSlowly:
				d.goroutines.Go(func() { d.serveWatch(ctx, pending) })
			case answers503:
				pending.reject()
			}
		}
	}
}

// reject answers 503.
func (pending pendingCall) reject() {
	fmt.Fprint(pending.conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
	pending.conn.Close()
}

// enqueue puts a call into the queue, or rejects it because the queue is full.
func (d *fakeDiscovery) enqueue(pending pendingCall) {
	if d.isDown.Load() || d.queueLimit > 0 && len(d.queue) >= d.queueLimit {
		pending.reject()
		return
	}
	d.queue <- pending
	if !d.processesExpired {
		return
	}
	d.goroutines.Go(func() {
		select {
		case <-pending.abandoned:
		case <-pending.begun:
		case <-time.After(d.queueTimeout):
			pending.reject()
		}
	})
}

// isAbandoned reports whether the client has gone.
func (pending pendingCall) isAbandoned() bool {
	select {
	case <-pending.abandoned:
		return true
	default:
		return false
	}
}

// serveWatch sends the list, then heartbeats until all watches fall silent or are closed.
func (d *fakeDiscovery) serveWatch(ctx context.Context, pending pendingCall) {
	d.mu.Lock()
	silence := d.silenced
	d.mu.Unlock()
	_, err := fmt.Fprintf(pending.conn, "HTTP/1.1 200 OK\r\n\r\n{\"generation\":%d,\"reset\":true,\"instances\":[", 7+pending.call)
	if pending.behavior == stallsMidList {
		<-pending.abandoned
		return
	}
	if pending.behavior == answersSlowly {
		time.Sleep(2400 * ms)
	}
	if err == nil {
		_, err = io.WriteString(pending.conn, `{"instanceId":"s1","hostPort":"127.1.0.1:7070","lifecycle":"active"}]}`+"\n")
	}
	for err == nil {
		select {
		case <-ctx.Done():
			return
		case <-silence:
			if _, _ = io.WriteString(pending.conn, "\n"); d.closesWatches {
				pending.conn.Close()
			}
			return
		case <-time.After(d.heartbeatInterval()):
			_, err = io.WriteString(pending.conn, "\n")
		}
	}
}

// silenceWatches makes all watches fall silent at the same moment, after a last heartbeat, whose time it
// returns.
func (d *fakeDiscovery) silenceWatches() (last time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.silenced)
	d.silenced = make(chan struct{})
	return time.Now()
}

// dial returns the Dial function of a node.
func (d *fakeDiscovery) dial(node string) func(context.Context, string, time.Time) (net.Conn, error) {
	return func(ctx context.Context, addr string, deadline time.Time) (net.Conn, error) {
		d.mu.Lock()
		call := len(d.calls[node])
		d.calls[node] = append(d.calls[node], time.Now())
		treatment := d.behavior(call)
		d.mu.Unlock()
		switch treatment {
		case refusesConnect:
			return nil, errRefused
		case connectTimesOut:
			select {
			case <-ctx.Done():
			case <-time.After(time.Until(deadline)):
			}
			return nil, os.ErrDeadlineExceeded
		}
		nodeConn, peerConn := net.Pipe()
		clientGone := make(chan struct{})
		d.goroutines.Go(func() { // a goroutine stands in for the buffers of a socket, which pipes don't have
			r := bufio.NewReader(peerConn)
			line, _ := r.ReadString('\n')
			d.mu.Lock()
			d.lastRequest[node] = addr + " " + strings.TrimSpace(line)
			d.mu.Unlock()
			d.enqueue(pendingCall{call, treatment, time.Now(), peerConn, clientGone, make(chan struct{})})
			_, _ = io.Copy(io.Discard, r)
			close(clientGone)
			peerConn.Close()
		})
		return nodeConn, nil
	}
}

// callsSince returns when a node made its calls after from, relative to from.
func (d *fakeDiscovery) callsSince(node string, from time.Time) (calls []time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, at := range d.calls[node] {
		if at.After(from) {
			calls = append(calls, at.Sub(from))
		}
	}
	return calls
}

// randomUpTo returns a random duration from 0 to d.
func randomUpTo(r *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(d) + 1))
}
