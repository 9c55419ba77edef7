package testbed

import (
	"context"
	"errors"
	"fmt"
	mrand "math/rand/v2"
	"strings"
	"sync"
	"time"

	"coralrelay/internal/fake"
)

const (
	// maxOpenTransactions limits the transactions in progress at a time.
	maxOpenTransactions = 2000
	// sessionDuration is how long a served client keeps its session open.
	sessionDuration = 150 * time.Millisecond
)

// SetRate sets the transaction rate as a multiple of the usual rate. Transactions beyond the usual
// rate come from returning clients.
func (bed *Testbed) SetRate(times float64) { bed.setRate(times, true) }

// SetFirstVisitRate sets the transaction rate as a multiple of the usual rate. All transactions come
// from new clients.
func (bed *Testbed) SetFirstVisitRate(times float64) { bed.setRate(times, false) }

// setRate sets the transaction rate. extraReturning reports whether transactions beyond the usual rate
// come from returning clients.
func (bed *Testbed) setRate(times float64, extraReturning bool) {
	bed.mu.Lock()
	defer bed.mu.Unlock()
	bed.rate, bed.extraReturning = times*bed.Rate, extraReturning
}

// openTransactions opens transactions at the current rate until ctx ends.
func (bed *Testbed) openTransactions(ctx context.Context, wg *sync.WaitGroup) {
	rng := mrand.New(mrand.NewPCG(bed.Options.Seed, 12))
	open := make(chan struct{}, maxOpenTransactions)
	next := time.Now()
	for id := 0; fake.Sleep(ctx, time.Until(next)); id++ {
		rate, returning := bed.drawClient(rng)
		next = next.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		node, addr := bed.Nodes.Pick(rng)
		select {
		case open <- struct{}{}:
		default:
			bed.AddMetric("not_sent_for_want_of_room", 1)
			continue
		}
		wg.Go(func() {
			defer func() { <-open }()
			bed.runTransaction(ctx, id, node, addr, returning)
		})
	}
}

// drawClient returns the current rate and draws whether the next client is a returning one.
func (bed *Testbed) drawClient(rng *mrand.Rand) (rate float64, returning bool) {
	bed.mu.Lock()
	defer bed.mu.Unlock()
	returning = bed.extraReturning && bed.rate > bed.Rate && rng.Float64() > bed.Rate/bed.rate
	return bed.rate, returning
}

// runTransaction runs one client. The client must get a final answer within FinalAnswerTimeout; a served
// client then keeps its session open for sessionDuration.
func (bed *Testbed) runTransaction(ctx context.Context, id int, node, addr string, returning bool) {
	line := fmt.Sprintf("OPEN %016x k%x c=feed,d=%d", id+1, id, FinalAnswerTimeout.Milliseconds())
	if returning {
		line += ",again=1"
	}
	startedAt := time.Now()
	session, err := OpenSession(ctx, addr, line)
	if err == nil {
		defer session.Close()
	}
	switch {
	case ctx.Err() != nil || errors.Is(err, ErrUnreachable):
		return
	case err != nil:
		if !bed.Nodes.StoppedSince(node, startedAt) {
			bed.AddViolation("answer", fmt.Sprintf("k%x at %s got no final answer: %v", id, node, err))
		}
		return
	}
	bed.mu.Lock()
	bed.answers = append(bed.answers, ClientAnswer{
		Node:      node,
		Zone:      bed.zones[node],
		Reply:     session.Reply,
		StartedAt: session.StartedAt,
		Took:      session.Took,
	})
	bed.mu.Unlock()
	bed.AddMetric(strings.ToLower(session.Reply), 1)
	if session.Took > FinalAnswerTimeout+SocketDelay {
		bed.AddViolation("answer", fmt.Sprintf("k%x at %s was answered after %v", id, node, session.Took))
	}
	if session.Reply == "UP" {
		fake.Sleep(ctx, sessionDuration)
	}
}
