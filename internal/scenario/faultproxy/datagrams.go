package faultproxy

import (
	"bytes"
	"net"
	"time"
)

const (
	// maxDelayedDatagrams limits the datagrams that are delayed at a time; further ones are dropped.
	maxDelayedDatagrams = 4096
	datagramBufferSize  = 64 << 10 // in bytes
)

// forwardDatagrams forwards the datagrams that arrive on a listener until the proxy is closed.
func (p *Proxy) forwardDatagrams(l *listener, to *net.UDPAddr) {
	buffer := make([]byte, datagramBufferSize)
	for {
		n, addr, err := l.udpConn.ReadFromUDPAddrPort(buffer)
		if p.ctx.Err() != nil {
			return
		}
		if err != nil {
			continue // an ICMP error for an earlier datagram that could not be delivered
		}
		from, ok := p.partyAt(addr.Addr())
		if !ok {
			continue
		}
		result := p.drawDatagramOutcome(pair{from, l.party.name}, n)
		for range result.copies {
			if result.delay == 0 {
				_, _ = l.udpConn.WriteToUDP(buffer[:n], to)
			} else {
				p.forwardLater(l, bytes.Clone(buffer[:n]), to, result.delay)
			}
		}
	}
}

// forwardLater forwards a datagram after a delay. It drops the datagram if maxDelayedDatagrams are
// delayed already.
func (p *Proxy) forwardLater(l *listener, datagram []byte, to *net.UDPAddr, delay time.Duration) {
	if !p.addDelayed(1) {
		return
	}
	time.AfterFunc(delay, func() {
		p.addDelayed(-1)
		_, _ = l.udpConn.WriteToUDP(datagram, to) // fails if the proxy has been closed
	})
}

// addDelayed adds n to the number of delayed datagrams. If that would exceed maxDelayedDatagrams, it
// changes nothing and returns false.
func (p *Proxy) addDelayed(n int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.delayedDatagrams+n > maxDelayedDatagrams {
		return false
	}
	p.delayedDatagrams += n
	return true
}
