package udp

import (
	"encoding/binary"
	"errors"
	"net/netip"

	"coralrelay/internal/flowtable"
)

var errProxy = errors.New("no PROXY v2 header for UDP")

// The PROXY protocol, version 2 (haproxy.org, proxy-protocol.txt, section 2.2), for
// datagrams: a header in front of each tells the next hop its client.
const (
	signature    = "\r\n\r\n\x00\r\nQUIT\n"
	versionProxy = 0x21 // version 2, command PROXY
	udpOver4     = 0x12
	udpOver6     = 0x22
	proxyHead    = len(signature) + 4
	// mark is the type of our own value behind the addresses (section 2.2.8 leaves 0xE0 to
	// 0xEF to whoever needs them): the flow's place in the table, with which a next hop's
	// answer finds it again.
	mark    = 0xE0
	markLen = 3 + 8
	// longestProxy is the longest header that is written.
	longestProxy = proxyHead + 36 + markLen
)

// appendProxy appends the header for a datagram from src to dst, with the flow's mark if
// it has one.
func appendProxy(b []byte, src, dst netip.AddrPort, r flowtable.Ref) []byte {
	extra := 0
	if r.Gen != 0 {
		extra = markLen
	}
	b = append(b, signature...)
	from, to := src.Addr().Unmap(), dst.Addr().Unmap()
	if from.Is4() && to.Is4() {
		b = binary.BigEndian.AppendUint16(append(b, versionProxy, udpOver4), uint16(12+extra))
		f, t := from.As4(), to.As4()
		b = append(append(b, f[:]...), t[:]...)
	} else {
		b = binary.BigEndian.AppendUint16(append(b, versionProxy, udpOver6), uint16(36+extra))
		f, t := src.Addr().As16(), dst.Addr().As16()
		b = append(append(b, f[:]...), t[:]...)
	}
	b = binary.BigEndian.AppendUint16(b, src.Port())
	b = binary.BigEndian.AppendUint16(b, dst.Port())
	if extra > 0 {
		b = append(b, mark, 0, 8)
		b = binary.BigEndian.AppendUint32(b, uint32(r.Index))
		b = binary.BigEndian.AppendUint32(b, r.Gen)
	}
	return b
}

// cutProxy reads a header and returns what follows it, and the flow's mark, with which Gen
// is not 0. Other values behind the addresses are passed over.
func cutProxy(b []byte) (src, dst netip.AddrPort, r flowtable.Ref, rest []byte, err error) {
	if len(b) < proxyHead || string(b[:len(signature)]) != signature || b[12] != versionProxy {
		return src, dst, r, nil, errProxy
	}
	n := int(binary.BigEndian.Uint16(b[14:]))
	body := b[proxyHead:]
	if n > len(body) {
		return src, dst, r, nil, errProxy
	}
	body, rest = body[:n], body[n:]
	switch {
	case b[13] == udpOver4 && n >= 12:
		src = netip.AddrPortFrom(netip.AddrFrom4([4]byte(body)), binary.BigEndian.Uint16(body[8:]))
		dst = netip.AddrPortFrom(netip.AddrFrom4([4]byte(body[4:])), binary.BigEndian.Uint16(body[10:]))
		body = body[12:]
	case b[13] == udpOver6 && n >= 36:
		src = netip.AddrPortFrom(netip.AddrFrom16([16]byte(body)), binary.BigEndian.Uint16(body[32:]))
		dst = netip.AddrPortFrom(netip.AddrFrom16([16]byte(body[16:])), binary.BigEndian.Uint16(body[34:]))
		body = body[36:]
	default:
		return src, dst, r, nil, errProxy
	}
	for len(body) >= 3 {
		kind, size := body[0], int(binary.BigEndian.Uint16(body[1:]))
		if size > len(body)-3 {
			return src, dst, flowtable.Ref{}, nil, errProxy
		}
		if kind == mark && size == 8 {
			r = flowtable.Ref{Index: int32(binary.BigEndian.Uint32(body[3:])), Gen: binary.BigEndian.Uint32(body[7:])}
		}
		body = body[3+size:]
	}
	return src, dst, r, rest, nil
}
