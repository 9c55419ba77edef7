package udp

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"syscall"
)

// The range of source ports where the machine does not say.
const (
	defaultFirstPort = 32768
	defaultPortCount = 28232
)

// maxPortAttempts bounds how many ports in a row may be in use by others.
const maxPortAttempts = 256

var errNoFreePort = errors.New("no free port")

// sourcePorts are the source ports of upstream sockets, used in turn: a released port is used
// again only after all others. The kernel draws ports at random; the next flow to the same
// endpoint might get the port of one that has just expired, and with it that one's late replies.
type sourcePorts struct {
	first int
	count int
	next  int // offset from first
}

// newSourcePorts takes one of several equal parts of the machine's range of local ports.
func newSourcePorts(part, parts int) sourcePorts {
	ports := localPortRange()
	ports.first += ports.count * part / parts
	ports.count = max(1, ports.count/parts)
	ports.next = rand.IntN(ports.count)
	return ports
}

func localPortRange() sourcePorts {
	byDefault := sourcePorts{first: defaultFirstPort, count: defaultPortCount}
	raw, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err != nil {
		return byDefault
	}
	var first, last int
	scanned, _ := fmt.Sscan(string(raw), &first, &last)
	if scanned != 2 || first <= 0 || first > last || last > math.MaxUint16 {
		return byDefault
	}
	return sourcePorts{first: first, count: last - first + 1}
}

// dial connects to an address from the next free port. It returns errNoFreePort after
// maxPortAttempts ports that are in use.
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
