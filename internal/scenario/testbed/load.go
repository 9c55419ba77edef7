package testbed

import (
	"bufio"
	"context"
	"fmt"
	mrand "math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"coralrelay/internal/fake"
)

const (
	// atOnce bounds the transactions under way.
	atOnce = 2000
	// stays is how long a client stays that was served.
	stays = 150 * time.Millisecond
)

// Pace sets the rate, in multiples of the usual: what is more than usual are clients that come
// again.
func (w *Testbed) SetRate(times float64) { w.pace(times, true) }

// Surge sets the rate likewise, of clients that come for the first time.
func (w *Testbed) SetFirstVisitRate(times float64) { w.pace(times, false) }

func (w *Testbed) pace(times float64, again bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rate, w.again = times*w.Rate, again
}

// load opens transactions at the rate until ctx ends.
func (w *Testbed) load(ctx context.Context, wg *sync.WaitGroup) {
	rng := mrand.New(mrand.NewPCG(w.Options.Seed, 12))
	room := make(chan struct{}, atOnce)
	next := time.Now()
	for id := 0; fake.Sleep(ctx, time.Until(next)); id++ {
		w.mu.Lock()
		rate, again := w.rate, w.again && w.rate > w.Rate && rng.Float64() > w.Rate/w.rate
		w.mu.Unlock()
		next = next.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		node, addr := w.Nodes.Pick(rng)
		select {
		case room <- struct{}{}:
		default:
			w.AddMetric("not_sent_for_want_of_room", 1)
			continue
		}
		wg.Go(func() {
			defer func() { <-room }()
			w.transact(ctx, id, node, addr, again)
		})
	}
}

// transact is one client: it is owed one final answer in time, and stays for a moment.
func (w *Testbed) transact(ctx context.Context, id int, node, addr string, again bool) {
	begun := time.Now()
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return // a node that has just fallen
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	more := ""
	if again {
		more = ",again=1"
	}
	_ = conn.SetDeadline(begun.Add(Patience + 500*time.Millisecond))
	fmt.Fprintf(conn, "OPEN %016x k%x c=feed,d=%d%s\r\n", id+1, id, Patience.Milliseconds(), more)
	text, err := bufio.NewReader(conn).ReadString('\n')
	took := time.Since(begun)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		if !w.Nodes.Gone(node, begun) {
			w.AddViolation("answer", fmt.Sprintf("k%x at %s got no final answer: %v", id, node, err))
		}
		return
	}
	word, _, _ := strings.Cut(strings.TrimSpace(text), " ")
	w.mu.Lock()
	w.answers = append(w.answers, ClientAnswer{node, w.zones[node], word, begun, took})
	w.mu.Unlock()
	w.AddMetric(strings.ToLower(word), 1)
	if took > Patience+SocketDelay {
		w.AddViolation("answer", fmt.Sprintf("k%x at %s was answered after %v", id, node, took))
	}
	if word == "UP" {
		fake.Sleep(ctx, stays)
	}
}
