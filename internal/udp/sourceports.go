package udp

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"syscall"
)

// ports are those that sockets to next hops come from, in turn: one that was given back
// comes again only after all others. Left to the kernel, which draws them, the next flow
// to the same next hop may get the port of one that has just expired, and with it the
// answer that was still on its way to that.
type sourcePorts struct{ first, count, next int }

// newPorts takes one of n parts of the machine's range for such ports.
func newSourcePorts(part, parts int) sourcePorts {
	ports := sourcePorts{first: 32768, count: 28232}
	var first, last int
	if raw, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range"); err == nil {
		if parts, _ := fmt.Sscan(string(raw), &first, &last); parts == 2 && first > 0 && first <= last && last < 1<<16 {
			ports.first, ports.count = first, last-first+1
		}
	}
	ports.first, ports.count = ports.first+ports.count*part/parts, max(1, ports.count/parts)
	ports.next = rand.IntN(ports.count)
	return ports
}

// tries bounds how many ports in a row may be somebody else's.
const maxPortAttempts = 256

var errNoFreePort = errors.New("no free port")

// dial connects to an address from the next port that is free.
func (p *sourcePorts) dial(to netip.AddrPort) (*net.UDPConn, error) {
	for range min(maxPortAttempts, p.count) {
		from := net.UDPAddr{Port: p.first + p.next}
		p.next = (p.next + 1) % p.count
		conn, err := net.DialUDP("udp", &from, net.UDPAddrFromAddrPort(to))
		if !errors.Is(err, syscall.EADDRINUSE) {
			return conn, err
		}
	}
	return nil, errNoFreePort
}
