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
	answersList     callBehavior = iota // the full list and then a heartbeat at each interval
	answers503                          // status 503
	neverAnswers                        // no byte
	refusesConnect                      // connection refused
	connectTimesOut                     // the connect times out
	stallsMidList                       // the list stops in the middle
	answersSlowly                       // the list comes slowly
)

// fakeDiscovery serves one call at a time, and drops those that have waited for its queueTimeout.
type fakeDiscovery struct {
	behavior          func(call int) callBehavior // by number of the node's call, from 0; called under mu
	serviceTime       func() time.Duration        // of one call
	heartbeatInterval func() time.Duration        // of a watch
	queueTimeout      time.Duration
	skipsAbandoned    bool        // a call whose client has gone takes no service time
	chargesExpired    bool        // a call that has waited too long is answered 503 at once, and takes service time all the same
	queueLimit        int         // further calls are answered 503 at once; 0 for none
	isDown            atomic.Bool // all calls are answered 503 at once
	queue             chan pendingCall
	goroutines        sync.WaitGroup

	mu            sync.Mutex
	calls         map[string][]time.Time // by node
	silenced      chan struct{}          // closed when all watches fall silent
	closesWatches bool                   // and then their connections are closed
	lastRequest   map[string]string      // by node
}

// pendingCall is a call in the queue.
type pendingCall struct {
	call      int
	behavior  callBehavior
	arrivedAt time.Time
	conn      net.Conn
	abandoned chan struct{} // closed once its client has gone
	begun     chan struct{} // closed once it is served
}

func newFakeDiscovery(m func(call int) callBehavior) *fakeDiscovery {
	return &fakeDiscovery{
		behavior:          m,
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
		case v := <-d.queue:
			isExpired := time.Since(v.arrivedAt) > d.queueTimeout
			if isExpired && !d.chargesExpired || d.skipsAbandoned && v.isAbandoned() {
				v.conn.Close()
				continue
			}
			time.Sleep(d.serviceTime())
			if isExpired {
				continue // it was answered when its time was over
			}
			close(v.begun)
			switch v.behavior {
			case answersList, stallsMidList, answersSlowly:
				d.goroutines.Go(func() { d.watch(ctx, v) })
			case answers503:
				v.reject()
			}
		}
	}
}

// reject answers 503.
func (v pendingCall) reject() {
	fmt.Fprint(v.conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
	v.conn.Close()
}

// enqueue puts a call into the queue, or rejects it because the queue is full.
func (d *fakeDiscovery) enqueue(v pendingCall) {
	if d.isDown.Load() || d.queueLimit > 0 && len(d.queue) >= d.queueLimit {
		v.reject()
		return
	}
	d.queue <- v
	if !d.chargesExpired {
		return
	}
	d.goroutines.Go(func() {
		select {
		case <-v.abandoned:
		case <-v.begun:
		case <-time.After(d.queueTimeout):
			v.reject()
		}
	})
}

// isAbandoned reports whether the client has gone.
func (v pendingCall) isAbandoned() bool {
	select {
	case <-v.abandoned:
		return true
	default:
		return false
	}
}

// watch sends the list, then heartbeats until all watches fall silent or are closed.
func (d *fakeDiscovery) watch(ctx context.Context, v pendingCall) {
	d.mu.Lock()
	quiet := d.silenced
	d.mu.Unlock()
	_, err := fmt.Fprintf(v.conn, "HTTP/1.1 200 OK\r\n\r\n{\"generation\":%d,\"reset\":true,\"instances\":[", 7+v.call)
	if v.behavior == stallsMidList {
		<-v.abandoned
		return
	}
	if v.behavior == answersSlowly {
		time.Sleep(2400 * ms)
	}
	if err == nil {
		_, err = io.WriteString(v.conn, `{"instanceId":"s1","hostPort":"127.1.0.1:7070","lifecycle":"active"}]}`+"\n")
	}
	for err == nil {
		select {
		case <-ctx.Done():
			return
		case <-quiet:
			if _, _ = io.WriteString(v.conn, "\n"); d.closesWatches {
				v.conn.Close()
			}
			return
		case <-time.After(d.heartbeatInterval()):
			_, err = io.WriteString(v.conn, "\n")
		}
	}
}

// silenceWatches has all watches fall silent at the same moment, after a last heartbeat.
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
		how := d.behavior(call)
		d.mu.Unlock()
		switch how {
		case refusesConnect:
			return nil, errRefused
		case connectTimesOut:
			select {
			case <-ctx.Done():
			case <-time.After(time.Until(deadline)):
			}
			return nil, os.ErrDeadlineExceeded
		}
		near, far := net.Pipe()
		gone := make(chan struct{})
		d.goroutines.Go(func() { // sockets have buffers and pipes have not
			r := bufio.NewReader(far)
			line, _ := r.ReadString('\n')
			d.mu.Lock()
			d.lastRequest[node] = addr + " " + strings.TrimSpace(line)
			d.mu.Unlock()
			d.enqueue(pendingCall{call, how, time.Now(), far, gone, make(chan struct{})})
			_, _ = io.Copy(io.Discard, r)
			close(gone)
			far.Close()
		})
		return near, nil
	}
}

// callsSince is when a node's calls left, relative to from.
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

// randomUpTo draws a duration.
func randomUpTo(r *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(d) + 1))
}
