package faultproxy

import (
	"context"
	"fmt"
	"net"
	"net/netip"

	"coralrelay/internal/loopback"
)

// maxStreams limits the concurrent streams of a listener; further ones are closed.
const maxStreams = 512

// party is a process whose traffic passes through the proxy.
type party struct {
	name, zone       string
	sentBytes        uint64
	droppedDatagrams uint64 // sent by the party; reads of a stream that is cut count too
	listeners        []*listener
}

// listener is one address of the proxy at which a party is reached.
type listener struct {
	party       *party
	client      string // the only client of the listener; empty if clients are identified by their IP
	target      string // the address on which the party listens
	addr        string // the address on which the proxy listens
	slots       chan struct{}
	udpConn     *net.UDPConn // nil if the party accepts only streams
	tcpListener net.Listener // nil while the party is down
}

// party returns the party with a name and adds it if it does not exist. The caller holds the lock.
func (p *Proxy) party(name string) *party {
	found := p.parties[name]
	if found == nil {
		found = &party{name: name}
		p.parties[name] = found
	}
	return found
}

// SetZone sets the zone of a party.
func (p *Proxy) SetZone(name, zone string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.party(name).zone = zone
}

// Add adds a party that listens on the address target, on TCP and UDP, and sends from the IP of
// target. It returns the address at which the other parties reach it: the given IP with a port of its
// own. A party may be added for several addresses of one IP.
func (p *Proxy) Add(name, target, ip string) (addr string, err error) {
	targetAddr, err := netip.ParseAddrPort(target)
	if err != nil {
		return "", fmt.Errorf("party %s: %w", name, err)
	}
	l, err := p.addListener(name, "", target, ip)
	if err != nil {
		return "", err
	}
	tcpAddr := l.tcpListener.Addr().(*net.TCPAddr)
	if l.udpConn, err = net.ListenUDP("udp", &net.UDPAddr{IP: tcpAddr.IP, Port: tcpAddr.Port}); err != nil {
		_ = l.tcpListener.Close()
		return "", fmt.Errorf("party %s: %w", name, err)
	}
	p.mu.Lock()
	p.partyByIP[targetAddr.Addr()] = name
	p.mu.Unlock()
	context.AfterFunc(p.ctx, func() { _ = l.udpConn.Close() })
	p.wg.Go(func() { p.forwardDatagrams(l, net.UDPAddrFromAddrPort(targetAddr)) })
	p.startAccepting(l)
	return l.addr, nil
}

// AddFor adds a party that accepts streams and returns the address at which one client reaches it.
// Every connection to that address counts as that client's, whatever its source address.
func (p *Proxy) AddFor(client, name, target, ip string) (addr string, err error) {
	l, err := p.addListener(name, client, target, ip)
	if err != nil {
		return "", err
	}
	p.startAccepting(l)
	return l.addr, nil
}

// addListener opens a listener without accepting streams.
func (p *Proxy) addListener(name, client, target, ip string) (*listener, error) {
	tcpListener, err := loopback.ListenOn(ip)
	if err != nil {
		return nil, fmt.Errorf("party %s: %w", name, err)
	}
	l := &listener{
		client:      client,
		target:      target,
		addr:        tcpListener.Addr().String(),
		slots:       make(chan struct{}, maxStreams),
		tcpListener: tcpListener,
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	l.party = p.party(name)
	if client != "" {
		p.party(client)
	}
	l.party.listeners = append(l.party.listeners, l)
	return l, nil
}

// startAccepting starts a goroutine that accepts streams until the listener is closed.
func (p *Proxy) startAccepting(l *listener) {
	tcpListener := l.tcpListener
	context.AfterFunc(p.ctx, func() { _ = tcpListener.Close() })
	p.wg.Go(func() { p.accept(l, tcpListener) })
}

// SetDown sets whether the process of a party is down. While it is down, connections to it are
// refused, as the party's machine would refuse them, instead of being accepted and then closed.
func (p *Proxy) SetDown(name string, down bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.party(name).listeners {
		switch {
		case down && l.tcpListener != nil:
			_ = l.tcpListener.Close()
			l.tcpListener = nil
		case !down && l.tcpListener == nil:
			tcpListener, err := net.Listen("tcp", l.addr)
			if err != nil {
				return fmt.Errorf("party %s: %w", name, err)
			}
			l.tcpListener = tcpListener
			p.startAccepting(l)
		}
	}
	return nil
}

// Transferred returns the number of bytes that a party has sent and the number of its datagrams that
// were dropped.
func (p *Proxy) Transferred(name string) (bytes, dropped uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if found := p.parties[name]; found != nil {
		return found.sentBytes, found.droppedDatagrams
	}
	return 0, 0
}

// partyAt returns the name of the party that sends from an IP.
func (p *Proxy) partyAt(ip netip.Addr) (name string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	name, ok = p.partyByIP[ip.Unmap()]
	return name, ok
}
