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
	maxOpenTransactions = 2000
	// stays is how long a client stays that was served.
	stayDuration = 150 * time.Millisecond
)

// Pace sets the rate, in multiples of the usual: what is more than usual are clients that come
// again.
func (bed *Testbed) SetRate(times float64) { bed.setRate(times, true) }

// Surge sets the rate likewise, of clients that come for the first time.
func (bed *Testbed) SetFirstVisitRate(times float64) { bed.setRate(times, false) }

func (bed *Testbed) setRate(times float64, again bool) {
	bed.mu.Lock()
	defer bed.mu.Unlock()
	bed.rate, bed.extraReturn = times*bed.Rate, again
}

// load opens transactions at the rate until ctx ends.
func (bed *Testbed) openTransactions(ctx context.Context, wg *sync.WaitGroup) {
	rng := mrand.New(mrand.NewPCG(bed.Options.Seed, 12))
	room := make(chan struct{}, maxOpenTransactions)
	next := time.Now()
	for id := 0; fake.Sleep(ctx, time.Until(next)); id++ {
		bed.mu.Lock()
		rate, again := bed.rate, bed.extraReturn && bed.rate > bed.Rate && rng.Float64() > bed.Rate/bed.rate
		bed.mu.Unlock()
		next = next.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		node, addr := bed.Nodes.Pick(rng)
		select {
		case room <- struct{}{}:
		default:
			bed.AddMetric("not_sent_for_want_of_room", 1)
			continue
		}
		wg.Go(func() {
			defer func() { <-room }()
			bed.runTransaction(ctx, id, node, addr, again)
		})
	}
}

// transact is one client: it is owed one final answer in time, and stays for a moment.
func (bed *Testbed) runTransaction(ctx context.Context, id int, node, addr string, again bool) {
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
		if !bed.Nodes.Gone(node, begun) {
			bed.AddViolation("answer", fmt.Sprintf("k%x at %s got no final answer: %v", id, node, err))
		}
		return
	}
	word, _, _ := strings.Cut(strings.TrimSpace(text), " ")
	bed.mu.Lock()
	bed.answers = append(bed.answers, ClientAnswer{node, bed.zones[node], word, begun, took})
	bed.mu.Unlock()
	bed.AddMetric(strings.ToLower(word), 1)
	if took > Patience+SocketDelay {
		bed.AddViolation("answer", fmt.Sprintf("k%x at %s was answered after %v", id, node, took))
	}
	if word == "UP" {
		fake.Sleep(ctx, stayDuration)
	}
}
