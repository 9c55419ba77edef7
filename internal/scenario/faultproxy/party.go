package faultproxy

import (
	"context"
	"fmt"
	"net"
	"net/netip"
)

// maxStreams is how many streams a listener has at once; further ones are closed.
const maxStreams = 512

// party is a process that sends or receives.
type party struct {
	name, zone       string
	sentBytes        uint64
	droppedDatagrams uint64 // of those it sent; reads of a stream that is cut count too
	listeners        []*listener
}

// listener is one of the proxy's addresses for a party.
type listener struct {
	party       *party
	client      string // the only one that uses it; empty if the client is known by its IP
	target      string // the address on which the party listens
	addr        string // the address on which the proxy listens
	slots       chan struct{}
	udpConn     *net.UDPConn // nil if the party has streams only
	tcpListener net.Listener // nil while the party is down
}

// party returns the party of a name, which it adds if need be; the lock is held.
func (p *Proxy) party(name string) *party {
	one := p.parties[name]
	if one == nil {
		one = &party{name: name}
		p.parties[name] = one
	}
	return one
}

// SetZone sets the zone of a party.
func (p *Proxy) SetZone(name, zone string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.party(name).zone = zone
}

// Add adds a party that listens on an address, TCP and UDP, and sends from its IP. It returns the
// address at which the others reach it: ip is its IP, the port is the system's choice. A party may
// listen on several addresses of one IP.
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

// AddFor adds a party that listens for streams, and returns the address at which one client reaches
// it: all that connects there is that client, whatever its address.
func (p *Proxy) AddFor(client, name, target, ip string) (addr string, err error) {
	l, err := p.addListener(name, client, target, ip)
	if err != nil {
		return "", err
	}
	p.startAccepting(l)
	return l.addr, nil
}

// addListener opens a listener that does not accept yet.
func (p *Proxy) addListener(name, client, target, ip string) (*listener, error) {
	tcpListener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
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

// startAccepting accepts streams until the listener is closed.
func (p *Proxy) startAccepting(l *listener) {
	tcpListener := l.tcpListener
	context.AfterFunc(p.ctx, func() { _ = tcpListener.Close() })
	p.wg.Go(func() { p.accept(l, tcpListener) })
}

// SetDown says that a party's process is down or up again. While it is down, connections to it are
// refused, as its machine would refuse them, and not accepted and then closed.
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

// Transferred returns how many bytes a party has sent, and how many of its datagrams were dropped.
func (p *Proxy) Transferred(name string) (bytes, dropped uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if one := p.parties[name]; one != nil {
		return one.sentBytes, one.droppedDatagrams
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
