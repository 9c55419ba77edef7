package udp

import (
	"encoding/binary"
	"net/netip"
)

// The PROXY protocol, version 2 (haproxy.org, proxy-protocol.txt, section 2.2), for
// datagrams: a header in front of each tells the next hop its client.
const (
	signature    = "\r\n\r\n\x00\r\nQUIT\n"
	versionProxy = 0x21 // version 2, command PROXY
	udpOver4     = 0x12
	udpOver6     = 0x22
	proxyHead    = len(signature) + 4
	// longestProxy is the longest header that is written.
	longestProxy = proxyHead + 36
)

// appendProxy appends the header for a datagram from src to dst.
func appendProxy(b []byte, src, dst netip.AddrPort) []byte {
	b = append(b, signature...)
	from, to := src.Addr().Unmap(), dst.Addr().Unmap()
	if from.Is4() && to.Is4() {
		b = binary.BigEndian.AppendUint16(append(b, versionProxy, udpOver4), 12)
		f, t := from.As4(), to.As4()
		b = append(append(b, f[:]...), t[:]...)
	} else {
		b = binary.BigEndian.AppendUint16(append(b, versionProxy, udpOver6), 36)
		f, t := src.Addr().As16(), dst.Addr().As16()
		b = append(append(b, f[:]...), t[:]...)
	}
	b = binary.BigEndian.AppendUint16(b, src.Port())
	return binary.BigEndian.AppendUint16(b, dst.Port())
}
