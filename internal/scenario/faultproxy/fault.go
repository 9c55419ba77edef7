package faultproxy

import (
	"context"
	"math/rand/v2"
	"time"
)

// Fault is what happens to what one party sends to another. Its zero value is no fault.
type Fault struct {
	Cut        bool          // nothing arrives, and no error is reported
	Delay      time.Duration // everything is late by this much
	Jitter     time.Duration // and by up to this much more: datagrams may be reordered
	Drop       float64       // the share of datagrams that is lost; a stream is delayed instead, as by a retransmit
	Duplicate  float64       // the share of datagrams that arrives twice
	ResetAt    int           // a stream is reset after so many bytes; 0 for never
	ByteByByte bool          // a stream arrives byte by byte
}

// combine returns the fault where two faults apply.
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

// retransmitDelay is how long what was lost on a stream takes to be sent again.
const retransmitDelay = 200 * time.Millisecond

// fate is what becomes of some bytes.
type fate struct {
	copies int // that arrive
	delay  time.Duration
}

// faultBetween returns the fault on what one party sends to another; the lock is held.
func (p *Proxy) faultBetween(link pair) Fault {
	zones := pair{p.parties[link.from].zone, p.parties[link.to].zone}
	return p.partyFaults[link].combine(p.zoneFaults[zones])
}

// rng returns the random numbers of one direction, which follow from the seed and the names; the
// lock is held.
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

// drawDatagramFate draws what becomes of a datagram of n bytes.
func (p *Proxy) drawDatagramFate(link pair, n int) fate {
	p.mu.Lock()
	defer p.mu.Unlock()
	fault, isDropped, isDuplicated, delay := p.draw(link)
	result := fate{copies: 1, delay: delay}
	switch {
	case fault.Cut, isDropped:
		result.copies = 0
	case isDuplicated:
		result.copies = 2
	}
	p.account(link.from, n, result)
	return result
}

// drawStreamFate draws what becomes of n bytes of a stream.
func (p *Proxy) drawStreamFate(link pair, n int) fate {
	p.mu.Lock()
	defer p.mu.Unlock()
	fault, isDropped, _, delay := p.draw(link)
	result := fate{copies: 1, delay: delay}
	switch {
	case fault.Cut:
		result.copies = 0
	case isDropped:
		result.delay += retransmitDelay
	}
	p.account(link.from, n, result)
	return result
}

// draw draws what the fault of a direction does; the lock is held. All numbers are always drawn:
// setting one fault must not change the draws of the others.
func (p *Proxy) draw(link pair) (fault Fault, isDropped, isDuplicated bool, delay time.Duration) {
	fault = p.faultBetween(link)
	rng := p.rng(link)
	isDropped = rng.Float64() < fault.Drop
	isDuplicated = rng.Float64() < fault.Duplicate
	delay = fault.Delay + time.Duration(rng.Float64()*float64(fault.Jitter))
	return fault, isDropped, isDuplicated, delay
}

// account counts what a party has sent; the lock is held.
func (p *Proxy) account(from string, n int, f fate) {
	sender := p.parties[from]
	sender.sentBytes += uint64(n)
	if f.copies == 0 {
		sender.droppedDatagrams++
	}
}

// currentFault returns the fault of a direction.
func (p *Proxy) currentFault(link pair) Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faultBetween(link)
}

// isCut reports whether a direction is cut, and returns a channel that is closed when a fault
// changes.
func (p *Proxy) isCut(link pair) (cut bool, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faultBetween(link).Cut, p.changed
}

// waitWhileCut waits while a direction is cut; waited reports whether it had to. It returns ok false
// if ctx ended first.
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
