// Package faultproxy provides a fault-injecting proxy between processes. The proxy can cut, delay,
// drop and duplicate their traffic, separately for each direction.
//
// Each party listens on an address of its own and advertises the proxy's address for it. The proxy
// identifies a sender by its loopback address, so that each party needs an IP of its own. A client
// without such an address is identified by a listener that only this client uses (AddFor).
//
// A Proxy runs a goroutine for each listener and several for each stream. Close stops all of them and
// waits until they have returned.
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
	rngs             map[pair]*rand.Rand // by the parties of a direction
	delayedDatagrams int
	changed          chan struct{} // closed and replaced when a fault changes
}

// New returns a proxy without parties. The seed and the order in which each party's datagrams arrive
// determine which of them the proxy drops.
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

// Set sets the fault on the traffic from one party to another; a zero Fault removes it.
func (p *Proxy) Set(from, to string, f Fault) {
	p.SetOneWay([]string{from}, []string{to}, f)
}

// SetBetweenZones sets the fault on the traffic from all parties of one zone to those of another, in
// this direction only. It is combined with the fault between two parties; a zero Fault removes it.
func (p *Proxy) SetBetweenZones(from, to string, f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.zoneFaults[pair{from, to}] = f
	p.notifyChanged()
}

// SetBetween sets the fault on the traffic between two groups of parties, in both directions.
func (p *Proxy) SetBetween(one, other []string, f Fault) {
	p.SetOneWay(one, other, f)
	p.SetOneWay(other, one, f)
}

// SetOneWay sets the fault on the traffic from one group of parties to another.
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

// Heal removes all faults. Streams that lost bytes to a cut end, because lost bytes are not
// retransmitted.
func (p *Proxy) Heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.partyFaults)
	clear(p.zoneFaults)
	p.notifyChanged()
}

// notifyChanged wakes all goroutines that wait for a fault to change. The caller holds the lock.
func (p *Proxy) notifyChanged() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Close closes all listeners and streams and waits until their goroutines have returned.
func (p *Proxy) Close() {
	p.cancel()
	p.wg.Wait()
}
