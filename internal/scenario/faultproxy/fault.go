package faultproxy

import (
	"context"
	"math/rand/v2"
	"time"
)

// Fault is a fault on the traffic from one party to another. The zero value is no fault.
type Fault struct {
	Cut        bool          // nothing arrives, and no error is reported
	Delay      time.Duration // added to everything
	Jitter     time.Duration // maximum random delay on top of Delay, which may reorder datagrams
	Drop       float64       // share of datagrams lost; a stream is delayed instead, as by a retransmit
	Duplicate  float64       // share of datagrams that arrives twice
	ResetAt    int           // number of bytes after which a stream is reset; 0 means never
	ByteByByte bool          // a stream arrives byte by byte
}

// combine returns the fault that has the effects of both faults.
func (f Fault) combine(g Fault) Fault {
	return Fault{
		Cut:        f.Cut || g.Cut,
		Delay:      f.Delay + g.Delay,
		Jitter:     f.Jitter + g.Jitter,
		Drop:       max(f.Drop, g.Drop),
		Duplicate:  max(f.Duplicate, g.Duplicate),
		ResetAt:    max(f.ResetAt, g.ResetAt),
		ByteByByte: f.ByteByByte || g.ByteByByte,
	}
}

// retransmitDelay is the delay of stream data that is lost and has to be retransmitted.
const retransmitDelay = 200 * time.Millisecond

// outcome is the effect of a fault on a datagram or on a read of a stream.
type outcome struct {
	copies int // number of copies that arrive
	delay  time.Duration
}

// faultBetween returns the fault on the traffic from one party to another, which combines the faults
// of the parties and of their zones. The caller holds the lock.
func (p *Proxy) faultBetween(link pair) Fault {
	zones := pair{p.parties[link.from].zone, p.parties[link.to].zone}
	return p.partyFaults[link].combine(p.zoneFaults[zones])
}

// rng returns the random number generator of one direction, which is determined by the seed and the
// names of the parties. The caller holds the lock.
func (p *Proxy) rng(link pair) *rand.Rand {
	if rng := p.rngs[link]; rng != nil {
		return rng
	}
	const prime = 1099511628211 // of the FNV-1 hash
	hash := p.seed
	for _, b := range []byte(link.from + ">" + link.to) {
		hash = hash*prime ^ uint64(b)
	}
	rng := rand.New(rand.NewPCG(p.seed, hash))
	p.rngs[link] = rng
	return rng
}

// drawDatagramOutcome draws the outcome of a datagram of n bytes.
func (p *Proxy) drawDatagramOutcome(link pair, n int) outcome {
	p.mu.Lock()
	defer p.mu.Unlock()
	fault, isDropped, isDuplicated, delay := p.draw(link)
	result := outcome{copies: 1, delay: delay}
	switch {
	case fault.Cut, isDropped:
		result.copies = 0
	case isDuplicated:
		result.copies = 2
	}
	p.account(link.from, n, result)
	return result
}

// drawStreamOutcome draws the outcome of n bytes of a stream.
func (p *Proxy) drawStreamOutcome(link pair, n int) outcome {
	p.mu.Lock()
	defer p.mu.Unlock()
	fault, isDropped, _, delay := p.draw(link)
	result := outcome{copies: 1, delay: delay}
	switch {
	case fault.Cut:
		result.copies = 0
	case isDropped:
		result.delay += retransmitDelay
	}
	p.account(link.from, n, result)
	return result
}

// draw draws the effects of the fault of a direction. It always draws all random numbers, so that
// setting one kind of fault does not change the draws of the others. The caller holds the lock.
func (p *Proxy) draw(link pair) (fault Fault, isDropped, isDuplicated bool, delay time.Duration) {
	fault = p.faultBetween(link)
	rng := p.rng(link)
	isDropped = rng.Float64() < fault.Drop
	isDuplicated = rng.Float64() < fault.Duplicate
	delay = fault.Delay + time.Duration(rng.Float64()*float64(fault.Jitter))
	return fault, isDropped, isDuplicated, delay
}

// account adds n bytes with their outcome to the counters of the sender. The caller holds the lock.
func (p *Proxy) account(from string, n int, result outcome) {
	sender := p.parties[from]
	sender.sentBytes += uint64(n)
	if result.copies == 0 {
		sender.droppedDatagrams++
	}
}

// currentFault returns the fault of a direction.
func (p *Proxy) currentFault(link pair) Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faultBetween(link)
}

// isCut reports whether a direction is cut. It also returns a channel that is closed when any fault
// changes.
func (p *Proxy) isCut(link pair) (cut bool, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faultBetween(link).Cut, p.changed
}

// waitWhileCut waits while a direction is cut. The result waited reports whether it was cut at all;
// ok is false if ctx ended first.
func (p *Proxy) waitWhileCut(ctx context.Context, link pair) (waited, ok bool) {
	for {
		cut, changed := p.isCut(link)
		if !cut {
			return waited, true
		}
		waited = true
		select {
		case <-ctx.Done():
			return waited, false
		case <-changed:
		}
	}
}
