package refmodel_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/discovery"
	"coralrelay/internal/dispatch"
)

// manner is how discovery takes a call.
type manner int

const (
	lists   manner = iota // it answers with the whole list and then says something every beat
	turns                 // it answers 503
	hangs                 // it never says a word
	refuses               // nobody listens
	cut                   // connections to it never come up
	stalls                // its list stops in the middle
	drips                 // its list comes slowly
)

// discovery takes one call at a time, and drops those that have waited for its patience.
type fakeDiscovery struct {
	manner   func(call int) manner // of a node's calls, from 0; asked one at a time
	takes    func() time.Duration  // one call
	beat     func() time.Duration  // until the next word of a watch
	patience time.Duration
	free     bool // a call whose caller has gone costs no turn
	queue    chan visit
	parts    sync.WaitGroup

	mu      sync.Mutex
	calls   map[string][]time.Time // by node
	quiet   chan struct{}          // closed when all watches fall silent
	ends    bool                   // and then they end
	request map[string]string      // a node's last
}

type visit struct {
	call int
	how  manner
	at   time.Time
	conn net.Conn
	gone chan struct{} // closed once its caller has gone
}

func newDiscovery(m func(call int) manner) *fakeDiscovery {
	return &fakeDiscovery{manner: m, takes: func() time.Duration { return 4 * ms }, beat: func() time.Duration { return 2 * time.Second }, patience: time.Second,
		queue: make(chan visit, 4096), calls: map[string][]time.Time{}, request: map[string]string{}, quiet: make(chan struct{})}
}

func (d *fakeDiscovery) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case v := <-d.queue:
			if time.Since(v.at) > d.patience || d.free && v.left() {
				v.conn.Close()
				continue
			}
			time.Sleep(d.takes())
			switch v.how {
			case lists, stalls, drips:
				d.parts.Go(func() { d.watch(ctx, v) })
			case turns:
				fmt.Fprint(v.conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
				v.conn.Close()
			}
		}
	}
}

// left tells whether the caller has gone.
func (v visit) left() bool {
	select {
	case <-v.gone:
		return true
	default:
		return false
	}
}

// watch tells the list, then a word each beat until all watches fall silent or end.
func (d *fakeDiscovery) watch(ctx context.Context, v visit) {
	d.mu.Lock()
	quiet := d.quiet
	d.mu.Unlock()
	_, err := fmt.Fprintf(v.conn, "HTTP/1.1 200 OK\r\n\r\n{\"generation\":%d,\"reset\":true,\"instances\":[", 7+v.call)
	if v.how == stalls {
		<-v.gone
		return
	}
	if v.how == drips {
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
			if _, err = io.WriteString(v.conn, "\n"); d.ends {
				v.conn.Close()
			}
			return
		case <-time.After(d.beat()):
			_, err = io.WriteString(v.conn, "\n")
		}
	}
}

// hush has all watches fall silent at one moment, behind a last word.
func (d *fakeDiscovery) hush() (last time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.quiet)
	d.quiet = make(chan struct{})
	return time.Now()
}

// dial is a node's way to discovery.
func (d *fakeDiscovery) dial(node string) func(context.Context, string, time.Time) (net.Conn, error) {
	return func(ctx context.Context, addr string, deadline time.Time) (net.Conn, error) {
		d.mu.Lock()
		call := len(d.calls[node])
		d.calls[node] = append(d.calls[node], time.Now())
		how := d.manner(call)
		d.mu.Unlock()
		switch how {
		case refuses:
			return nil, errRefused
		case cut:
			select {
			case <-ctx.Done():
			case <-time.After(time.Until(deadline)):
			}
			return nil, errRefused
		}
		near, far := net.Pipe()
		gone := make(chan struct{})
		d.parts.Go(func() { // sockets have buffers and pipes have not
			r := bufio.NewReader(far)
			line, _ := r.ReadString('\n')
			d.mu.Lock()
			d.request[node] = addr + " " + strings.TrimSpace(line)
			d.mu.Unlock()
			d.queue <- visit{call, how, time.Now(), far, gone}
			_, _ = io.Copy(io.Discard, r)
			close(gone)
			far.Close()
		})
		return near, nil
	}
}

// follower is what of a node follows the list.
type follower struct {
	core  *dispatch.EventLoop
	watch *discovery.Watcher

	mu   sync.Mutex
	told []discovery.Update
	at   []time.Time
}

func (f *follower) UpdateEndpoints(u discovery.Update) {
	f.mu.Lock()
	f.told, f.at = append(f.told, u), append(f.at, time.Now())
	f.mu.Unlock()
	f.core.UpdateEndpoints(u.ListUpdate())
}

func (*follower) Probe(string) {}

// whole is when a whole list came first after a time; zero if none has.
func (f *follower) whole(after time.Time) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, u := range f.told {
		if u.Kind == balance.ListFull && f.at[i].After(after) {
			return f.at[i]
		}
	}
	return time.Time{}
}

// follow starts a follower that ends with ctx.
func (d *fakeDiscovery) follow(ctx context.Context, t *testing.T, node string, seed uint64, set balance.Settings) *follower {
	f := &follower{}
	f.watch = discovery.New("discovery:1", f)
	f.watch.Dial = d.dial(node)
	core, err := dispatch.New(dispatch.NewClock(), seed, set, f, f.watch)
	if err != nil {
		t.Fatal(err)
	}
	f.core = core
	d.parts.Go(func() { core.Run(ctx) })
	d.parts.Go(func() { f.watch.Run(ctx, discovery.Update{}) })
	return f
}

// asked are the settings of one of n nodes that ask for their list.
func asked(n int) balance.Settings {
	return balance.Settings{Instances: n, Tick: 4 * ms, SubscribeRequired: true, SubscribeTimeout: 10 * time.Second,
		Classes: []balance.Class{{Name: "feed", LatencyObjective: 300 * ms, Deadline: time.Second}}, Limits: balance.Limits{MaxAttempts: 4}}
}

// since is when a node's calls left, from a time on.
func (d *fakeDiscovery) since(node string, from time.Time) (calls []time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, at := range d.calls[node] {
		if at.After(from) {
			calls = append(calls, at.Sub(from))
		}
	}
	return calls
}

// upTo draws a time.
func upTo(r *rand.Rand, d time.Duration) time.Duration { return time.Duration(r.Int64N(int64(d) + 1)) }
