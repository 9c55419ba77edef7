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

// The default range of source ports, used if the machine's range can't be read.
const (
	defaultFirstPort = 32768
	defaultPortCount = 28232
)

// maxPortAttempts is the number of consecutive ports that dial tries.
const maxPortAttempts = 256

var errNoFreePort = errors.New("no free port")

// sourcePorts allocates the source ports of upstream sockets in rotation, so that a released port
// is reused only after all others. The kernel would choose ports at random: the next flow to the
// same endpoint might get the port of a flow that has just expired, and receive its late replies.
type sourcePorts struct {
	first int
	count int
	next  int // offset from first
}

// newSourcePorts returns one of several equal parts of the machine's range of local ports,
// starting at a random port.
func newSourcePorts(part, parts int) sourcePorts {
	ports := localPortRange()
	ports.first += ports.count * part / parts
	ports.count = max(1, ports.count/parts)
	ports.next = rand.IntN(ports.count)
	return ports
}

// localPortRange returns the machine's range of local ports, or the default range.
func localPortRange() sourcePorts {
	defaultRange := sourcePorts{first: defaultFirstPort, count: defaultPortCount}
	raw, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err != nil {
		return defaultRange
	}
	var first, last int
	scanned, _ := fmt.Sscan(string(raw), &first, &last)
	if scanned != 2 || first <= 0 || first > last || last > math.MaxUint16 {
		return defaultRange
	}
	return sourcePorts{first: first, count: last - first + 1}
}

// dial opens a socket that is connected to an address, from the next free port. It returns
// errNoFreePort if maxPortAttempts consecutive ports are in use.
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
