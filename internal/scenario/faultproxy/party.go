package faultproxy

import (
	"context"
	"fmt"
	"net"
	"net/netip"
)

// streams bounds the connections of one listener at once.
const maxStreams = 512

// party is who speaks or is spoken to.
type party struct {
	name, zone       string
	sentBytes        uint64 // bytes
	droppedDatagrams uint64 // datagrams of its that the relay dropped
	listeners        []*listener
}

// door is one of the relay's addresses for a party.
type listener struct {
	party       *party
	client      string // who alone comes here; empty for whoever his address tells
	target      string // where the party listens
	addr        string // where the relay does
	slots       chan struct{}
	udpConn     *net.UDPConn // nil where the party has streams only
	tcpListener net.Listener // nil while the party is down
}

// party returns who has a name; the lock is held.
func (r *Proxy) party(name string) *party {
	p := r.parties[name]
	if p == nil {
		p = &party{name: name}
		r.parties[name] = p
	}
	return p
}

// Place says in which zone a party is.
func (r *Proxy) SetZone(name, zone string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.party(name).zone = zone
}

// Add takes a party that listens at an address, TCP and UDP, and speaks from its IP. It
// returns the address at which the others reach it: at is an IP, the port is the system's
// choice. A party may listen at several addresses of one IP.
func (r *Proxy) Add(name, listens, at string) (string, error) {
	to, err := netip.ParseAddrPort(listens)
	if err != nil {
		return "", fmt.Errorf("party %s: %w", name, err)
	}
	d, err := r.addListener(name, "", listens, at)
	if err != nil {
		return "", err
	}
	addr := d.tcpListener.Addr().(*net.TCPAddr)
	if d.udpConn, err = net.ListenUDP("udp", &net.UDPAddr{IP: addr.IP, Port: addr.Port}); err != nil {
		_ = d.tcpListener.Close()
		return "", fmt.Errorf("party %s: %w", name, err)
	}
	r.mu.Lock()
	r.partyByIP[to.Addr()] = name
	r.mu.Unlock()
	context.AfterFunc(r.ctx, func() { _ = d.udpConn.Close() })
	r.wg.Go(func() { r.forwardDatagrams(d, net.UDPAddrFromAddrPort(to)) })
	r.startAccepting(d)
	return d.addr, nil
}

// AddFor takes a party that listens for streams, and returns the address at which one
// speaker reaches it: who comes there is he, wherever he speaks from.
func (r *Proxy) AddFor(speaker, name, listens, at string) (string, error) {
	d, err := r.addListener(name, speaker, listens, at)
	if err != nil {
		return "", err
	}
	r.startAccepting(d)
	return d.addr, nil
}

// open makes a door whose streams nobody takes yet.
func (r *Proxy) addListener(name, speaker, listens, at string) (*listener, error) {
	tcp, err := net.Listen("tcp", net.JoinHostPort(at, "0"))
	if err != nil {
		return nil, fmt.Errorf("party %s: %w", name, err)
	}
	d := &listener{client: speaker, target: listens, addr: tcp.Addr().String(), slots: make(chan struct{}, maxStreams), tcpListener: tcp}
	r.mu.Lock()
	defer r.mu.Unlock()
	d.party = r.party(name)
	if speaker != "" {
		r.party(speaker)
	}
	d.party.listeners = append(d.party.listeners, d)
	return d, nil
}

// admit takes a door's streams until its listener is closed.
func (r *Proxy) startAccepting(d *listener) {
	l := d.tcpListener
	context.AfterFunc(r.ctx, func() { _ = l.Close() })
	r.wg.Go(func() { r.accept(d, l) })
}

// Down says that a party's process is gone or back: while it is gone, connections to it are
// refused, as its machine would refuse them, and not taken and then ended.
func (r *Proxy) SetDown(name string, gone bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.party(name)
	for _, d := range p.listeners {
		switch {
		case gone && d.tcpListener != nil:
			_ = d.tcpListener.Close()
			d.tcpListener = nil
		case !gone && d.tcpListener == nil:
			l, err := net.Listen("tcp", d.addr)
			if err != nil {
				return fmt.Errorf("party %s: %w", name, err)
			}
			d.tcpListener = l
			r.startAccepting(d)
		}
	}
	return nil
}

// Said is how many bytes a party has sent, and how many of its datagrams were dropped.
func (r *Proxy) Transferred(name string) (bytes, lost uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.parties[name]; p != nil {
		return p.sentBytes, p.droppedDatagrams
	}
	return 0, 0
}

// speaker names who speaks from an address.
func (r *Proxy) partyAt(a netip.Addr) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	name, ok := r.partyByIP[a.Unmap()]
	return name, ok
}
