package faultproxy

import (
	"bytes"
	"net"
	"time"
)

const (
	// maxDelayedDatagrams is how many datagrams can be delayed at once; others are lost.
	maxDelayedDatagrams = 4096
	datagramBufferSize  = 64 << 10 // in bytes
)

// forwardDatagrams forwards what arrives on a listener until the proxy is closed.
func (p *Proxy) forwardDatagrams(l *listener, to *net.UDPAddr) {
	buffer := make([]byte, datagramBufferSize)
	for {
		n, addr, err := l.udpConn.ReadFromUDPAddrPort(buffer)
		if p.ctx.Err() != nil {
			return
		}
		if err != nil {
			continue // an ICMP error for a datagram that could not be delivered
		}
		from, ok := p.partyAt(addr.Addr())
		if !ok {
			continue
		}
		f := p.drawDatagramFate(pair{from, l.party.name}, n)
		for range f.copies {
			if f.delay == 0 {
				_, _ = l.udpConn.WriteToUDP(buffer[:n], to)
			} else {
				p.forwardLater(l, bytes.Clone(buffer[:n]), to, f.delay)
			}
		}
	}
}

// forwardLater forwards a datagram after a delay, unless too many are delayed already.
func (p *Proxy) forwardLater(l *listener, datagram []byte, to *net.UDPAddr, delay time.Duration) {
	if !p.addDelayed(1) {
		return
	}
	time.AfterFunc(delay, func() {
		p.addDelayed(-1)
		_, _ = l.udpConn.WriteToUDP(datagram, to) // fails once the proxy is closed
	})
}

// addDelayed counts n more delayed datagrams. It returns false if these are too many.
func (p *Proxy) addDelayed(n int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.delayedDatagrams+n > maxDelayedDatagrams {
		return false
	}
	p.delayedDatagrams += n
	return true
}
