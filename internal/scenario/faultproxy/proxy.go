// Package fault is a relay between real processes that can cut, delay, drop and duplicate
// what they say to one another, each direction for itself. Each party listens at an
// address of its own and advertises the relay's address for it; who speaks is known by the
// loopback address that he speaks from, so that parties need one each. A speaker without
// such an address is known by the listener that only he is told of.
package faultproxy

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

// Fault is what befalls what one party says to another. Its zero value is none.
type Fault struct {
	Cut       bool          // nothing arrives, and nobody is told
	Delay     time.Duration // everything is late by so much
	Jitter    time.Duration // and by up to so much more: datagrams may overtake one another
	Drop      float64       // of datagrams; a stream is held up instead, as by a resend
	Duplicate float64       // of datagrams arrive twice
}

// with returns what befalls where two faults meet.
func (f Fault) with(g Fault) Fault {
	return Fault{f.Cut || g.Cut, f.Delay + g.Delay, f.Jitter + g.Jitter, max(f.Drop, g.Drop), max(f.Duplicate, g.Duplicate)}
}

// resend is how long what was lost on a stream takes to come again.
const retransmitDelay = 200 * time.Millisecond

// Relay stands between parties.
type Proxy struct {
	seed   uint64
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu               sync.Mutex
	parties          map[string]*party
	partyByIP        map[netip.Addr]string
	partyFaults      map[[2]string]Fault // by who speaks and who is spoken to
	zoneFaults       map[[2]string]Fault // likewise, by their zones
	rngs             map[[2]string]*rand.Rand
	delayedDatagrams int
	changed          chan struct{} // closed when faults change
}

// New returns a relay without parties. What it drops follows from the seed and from the
// order in which each party's datagrams come.
func New(seed uint64) *Proxy {
	ctx, cancel := context.WithCancel(context.Background())
	return &Proxy{seed: seed, ctx: ctx, cancel: cancel, parties: map[string]*party{}, partyByIP: map[netip.Addr]string{},
		partyFaults: map[[2]string]Fault{}, zoneFaults: map[[2]string]Fault{}, rngs: map[[2]string]*rand.Rand{}, changed: make(chan struct{})}
}

// Set puts a fault on what one party says to another; a zero Fault takes it away.
func (r *Proxy) Set(from, to string, f Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.partyFaults[[2]string{from, to}] = f
	r.notifyChanged()
}

// Zones puts a fault on all that parties of one zone say to those of another, one way. It
// adds to what Set says of two of them; a zero Fault takes it away.
func (r *Proxy) SetBetweenZones(from, to string, f Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.zoneFaults[[2]string{from, to}] = f
	r.notifyChanged()
}

// Between puts a fault on all that passes between two sides, both ways.
func (r *Proxy) SetBetween(one, other []string, f Fault) {
	r.SetOneWay(one, other, f)
	r.SetOneWay(other, one, f)
}

// OneWay puts a fault on all that one side says to the other.
func (r *Proxy) SetOneWay(from, to []string, f Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range from {
		for _, b := range to {
			r.partyFaults[[2]string{a, b}] = f
		}
	}
	r.notifyChanged()
}

// Heal takes all faults away. Streams that were cut end: what was lost of them is lost.
func (r *Proxy) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.partyFaults)
	clear(r.zoneFaults)
	r.notifyChanged()
}

// news wakes whoever is held up by a fault.
func (r *Proxy) notifyChanged() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Close ends the relay and all that passes through it.
func (r *Proxy) Close() {
	r.cancel()
	r.wg.Wait()
}

// between is the fault on what one party says to another; the lock is held.
func (r *Proxy) faultBetween(from, to string) Fault {
	return r.partyFaults[[2]string{from, to}].with(r.zoneFaults[[2]string{r.parties[from].zone, r.parties[to].zone}])
}

// fate draws what becomes of n bytes: how often they arrive and how late.
func (r *Proxy) drawFate(from, to string, n int, datagram bool) (copies int, delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	pair := [2]string{from, to}
	f, rng := r.faultBetween(from, to), r.rngs[pair]
	if rng == nil {
		h := r.seed
		for _, b := range []byte(from + ">" + to) {
			h = h*1099511628211 ^ uint64(b)
		}
		rng = rand.New(rand.NewPCG(r.seed, h))
		r.rngs[pair] = rng
	}
	// Both are drawn always: a fault that is put on or off leaves the others' draws alone.
	drop, twice, jitter := rng.Float64() < f.Drop, rng.Float64() < f.Duplicate, rng.Float64()
	copies, delay = 1, f.Delay+time.Duration(jitter*float64(f.Jitter))
	switch {
	case f.Cut:
		copies = 0
	case drop && datagram:
		copies = 0
	case drop:
		delay += retransmitDelay
	case twice && datagram:
		copies = 2
	}
	p := r.parties[from]
	p.sentBytes += uint64(n)
	if copies == 0 {
		p.droppedDatagrams++
	}
	return copies, delay
}

// cut tells whether nothing passes from one party to another, and when to look again.
func (r *Proxy) isCut(from, to string) (bool, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faultBetween(from, to).Cut, r.changed
}

// wait waits while nothing passes from one party to another; held tells whether it had to.
// It is false where ctx ended first.
func (r *Proxy) waitWhileCut(ctx context.Context, from, to string) (held, ok bool) {
	for {
		cut, changed := r.isCut(from, to)
		if !cut {
			return held, true
		}
		held = true
		select {
		case <-ctx.Done():
			return held, false
		case <-changed:
		}
	}
}
