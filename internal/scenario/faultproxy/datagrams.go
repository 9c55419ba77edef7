package faultproxy

import (
	"net"
	"time"
)

// late bounds the datagrams that are held back at once; beyond that they are lost.
const late = 4096

// datagrams passes on what comes for a party.
func (r *Proxy) datagrams(d *door, to *net.UDPAddr) {
	buf := make([]byte, 64<<10)
	for {
		n, addr, err := d.udp.ReadFromUDPAddrPort(buf)
		if r.ctx.Err() != nil {
			return
		}
		if err != nil {
			continue // an answer that a datagram could not be delivered
		}
		from, ok := r.speaker(addr.Addr())
		if !ok {
			continue
		}
		copies, delay := r.fate(from, d.p.name, n, true)
		for range copies {
			if delay == 0 {
				_, _ = d.udp.WriteToUDP(buf[:n], to)
				continue
			}
			if !r.hold(1) {
				continue
			}
			held := append([]byte(nil), buf[:n]...)
			time.AfterFunc(delay, func() {
				r.hold(-1)
				_, _ = d.udp.WriteToUDP(held, to) // an error once the relay has ended
			})
		}
	}
}

// hold counts datagrams that are held back, and tells whether there is room for n more.
func (r *Proxy) hold(n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.held+n > late {
		return false
	}
	r.held += n
	return true
}
