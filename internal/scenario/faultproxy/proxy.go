// Package faultproxy is a proxy between real processes that injects faults: it can cut, delay, drop
// and duplicate what they send to one another, each direction by itself.
//
// Each party listens on an address of its own and advertises the proxy's address for it. The sender
// is known by the loopback address that it sends from, so that each party needs an IP of its own. A
// client without such an address is known by a listener that only it uses (AddFor).
//
// A Proxy runs a goroutine for each listener and some for each stream. Close ends all of them and
// waits until they have ended.
package faultproxy

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
)

// pair is a sender and a receiver: two parties or two zones.
type pair struct {
	from, to string
}

func (p pair) reversed() pair { return pair{p.to, p.from} }

// Proxy forwards datagrams and streams between parties.
type Proxy struct {
	seed   uint64
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu               sync.Mutex
	parties          map[string]*party
	partyByIP        map[netip.Addr]string
	partyFaults      map[pair]Fault
	zoneFaults       map[pair]Fault
	rngs             map[pair]*rand.Rand // by parties
	delayedDatagrams int
	changed          chan struct{} // closed when faults change
}

// New returns a proxy without parties. What it drops follows from the seed and from the order in
// which each party's datagrams arrive.
func New(seed uint64) *Proxy {
	ctx, cancel := context.WithCancel(context.Background())
	return &Proxy{
		seed: seed, ctx: ctx, cancel: cancel,
		parties:     map[string]*party{},
		partyByIP:   map[netip.Addr]string{},
		partyFaults: map[pair]Fault{},
		zoneFaults:  map[pair]Fault{},
		rngs:        map[pair]*rand.Rand{},
		changed:     make(chan struct{}),
	}
}

// Set sets the fault on what one party sends to another; a zero Fault removes it.
func (p *Proxy) Set(from, to string, f Fault) {
	p.SetOneWay([]string{from}, []string{to}, f)
}

// SetBetweenZones sets the fault on all that the parties of one zone send to those of another, one
// way. It adds to the fault between two of the parties; a zero Fault removes it.
func (p *Proxy) SetBetweenZones(from, to string, f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.zoneFaults[pair{from, to}] = f
	p.notifyChanged()
}

// SetBetween sets the fault on all that passes between two groups of parties, both ways.
func (p *Proxy) SetBetween(one, other []string, f Fault) {
	p.SetOneWay(one, other, f)
	p.SetOneWay(other, one, f)
}

// SetOneWay sets the fault on all that one group of parties sends to another.
func (p *Proxy) SetOneWay(from, to []string, f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, sender := range from {
		for _, receiver := range to {
			p.partyFaults[pair{sender, receiver}] = f
		}
	}
	p.notifyChanged()
}

// Heal removes all faults. Streams that were cut end: what they lost is lost.
func (p *Proxy) Heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.partyFaults)
	clear(p.zoneFaults)
	p.notifyChanged()
}

// notifyChanged wakes all that wait for a fault to change; the lock is held.
func (p *Proxy) notifyChanged() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Close ends the proxy and all that passes through it.
func (p *Proxy) Close() {
	p.cancel()
	p.wg.Wait()
}
