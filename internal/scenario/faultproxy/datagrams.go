package faultproxy

import (
	"net"
	"time"
)

// late bounds the datagrams that are held back at once; beyond that they are lost.
const maxDelayedDatagrams = 4096

// datagrams passes on what comes for a party.
func (r *Proxy) forwardDatagrams(d *listener, to *net.UDPAddr) {
	buf := make([]byte, 64<<10)
	for {
		n, addr, err := d.udpConn.ReadFromUDPAddrPort(buf)
		if r.ctx.Err() != nil {
			return
		}
		if err != nil {
			continue // an answer that a datagram could not be delivered
		}
		from, ok := r.partyAt(addr.Addr())
		if !ok {
			continue
		}
		copies, delay := r.drawFate(from, d.party.name, n, true)
		for range copies {
			if delay == 0 {
				_, _ = d.udpConn.WriteToUDP(buf[:n], to)
				continue
			}
			if !r.addDelayed(1) {
				continue
			}
			held := append([]byte(nil), buf[:n]...)
			time.AfterFunc(delay, func() {
				r.addDelayed(-1)
				_, _ = d.udpConn.WriteToUDP(held, to) // an error once the relay has ended
			})
		}
	}
}

// hold counts datagrams that are held back, and tells whether there is room for n more.
func (r *Proxy) addDelayed(n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.delayedDatagrams+n > maxDelayedDatagrams {
		return false
	}
	r.delayedDatagrams += n
	return true
}
