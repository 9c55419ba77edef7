package udp

import (
	"encoding/binary"
	"errors"
	"net/netip"
)

var errProxy = errors.New("no PROXY v2 header for UDP")

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
