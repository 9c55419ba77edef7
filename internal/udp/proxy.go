package udp

import (
	"encoding/binary"
	"errors"
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

var errProxy = errors.New("no PROXY v2 header for UDP")

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

// cutProxy reads a header and returns what follows it.
func cutProxy(b []byte) (src, dst netip.AddrPort, rest []byte, err error) {
	if len(b) < proxyHead || string(b[:len(signature)]) != signature || b[12] != versionProxy {
		return src, dst, nil, errProxy
	}
	n := int(binary.BigEndian.Uint16(b[14:]))
	body := b[proxyHead:]
	if n > len(body) {
		return src, dst, nil, errProxy
	}
	body, rest = body[:n], body[n:] // longer ones carry more, which is passed over
	switch {
	case b[13] == udpOver4 && n >= 12:
		src = netip.AddrPortFrom(netip.AddrFrom4([4]byte(body)), binary.BigEndian.Uint16(body[8:]))
		dst = netip.AddrPortFrom(netip.AddrFrom4([4]byte(body[4:])), binary.BigEndian.Uint16(body[10:]))
	case b[13] == udpOver6 && n >= 36:
		src = netip.AddrPortFrom(netip.AddrFrom16([16]byte(body)), binary.BigEndian.Uint16(body[32:]))
		dst = netip.AddrPortFrom(netip.AddrFrom16([16]byte(body[16:])), binary.BigEndian.Uint16(body[34:]))
	default:
		return src, dst, nil, errProxy
	}
	return src, dst, rest, nil
}
