package udp

import (
	"encoding/binary"
	"errors"
	"net/netip"

	"coralrelay/internal/flowtable"
)

var errProxyHeader = errors.New("no PROXY v2 header for UDP")

// The PROXY protocol, version 2 (haproxy.org, proxy-protocol.txt, section 2.2), for
// datagrams: a header in front of each tells the next hop its client.
const (
	proxySignature      = "\r\n\r\n\x00\r\nQUIT\n"
	proxyVersionCommand = 0x21 // version 2, command PROXY
	proxyUDPv4          = 0x12
	proxyUDPv6          = 0x22
	proxyFixedLen       = len(proxySignature) + 4
	// mark is the type of our own value behind the addresses (section 2.2.8 leaves 0xE0 to
	// 0xEF to whoever needs them): the flow's place in the table, with which a next hop's
	// answer finds it again.
	tlvFlowRef    = 0xE0
	flowRefTLVLen = 3 + 8
	// longestProxy is the longest header that is written.
	maxProxyHeaderLen = proxyFixedLen + 36 + flowRefTLVLen
)

// appendProxy appends the header for a datagram from src to dst, with the flow's mark if
// it has one.
func appendProxyHeader(b []byte, source, destination netip.AddrPort, ref flowtable.Ref) []byte {
	tlvLen := 0
	if ref.Gen != 0 {
		tlvLen = flowRefTLVLen
	}
	b = append(b, proxySignature...)
	from, to := source.Addr().Unmap(), destination.Addr().Unmap()
	if from.Is4() && to.Is4() {
		b = binary.BigEndian.AppendUint16(append(b, proxyVersionCommand, proxyUDPv4), uint16(12+tlvLen))
		f, t := from.As4(), to.As4()
		b = append(append(b, f[:]...), t[:]...)
	} else {
		b = binary.BigEndian.AppendUint16(append(b, proxyVersionCommand, proxyUDPv6), uint16(36+tlvLen))
		f, t := source.Addr().As16(), destination.Addr().As16()
		b = append(append(b, f[:]...), t[:]...)
	}
	b = binary.BigEndian.AppendUint16(b, source.Port())
	b = binary.BigEndian.AppendUint16(b, destination.Port())
	if tlvLen > 0 {
		b = append(b, tlvFlowRef, 0, 8)
		b = binary.BigEndian.AppendUint32(b, uint32(ref.Index))
		b = binary.BigEndian.AppendUint32(b, ref.Gen)
	}
	return b
}

// cutProxy reads a header and returns what follows it, and the flow's mark, with which Gen
// is not 0. Other values behind the addresses are passed over.
func parseProxyHeader(b []byte) (source, destination netip.AddrPort, ref flowtable.Ref, rest []byte, err error) {
	if len(b) < proxyFixedLen || string(b[:len(proxySignature)]) != proxySignature || b[12] != proxyVersionCommand {
		return source, destination, ref, nil, errProxyHeader
	}
	length := int(binary.BigEndian.Uint16(b[14:]))
	body := b[proxyFixedLen:]
	if length > len(body) {
		return source, destination, ref, nil, errProxyHeader
	}
	body, rest = body[:length], body[length:]
	switch {
	case b[13] == proxyUDPv4 && length >= 12:
		source = netip.AddrPortFrom(netip.AddrFrom4([4]byte(body)), binary.BigEndian.Uint16(body[8:]))
		destination = netip.AddrPortFrom(netip.AddrFrom4([4]byte(body[4:])), binary.BigEndian.Uint16(body[10:]))
		body = body[12:]
	case b[13] == proxyUDPv6 && length >= 36:
		source = netip.AddrPortFrom(netip.AddrFrom16([16]byte(body)), binary.BigEndian.Uint16(body[32:]))
		destination = netip.AddrPortFrom(netip.AddrFrom16([16]byte(body[16:])), binary.BigEndian.Uint16(body[34:]))
		body = body[36:]
	default:
		return source, destination, ref, nil, errProxyHeader
	}
	for len(body) >= 3 {
		kind, size := body[0], int(binary.BigEndian.Uint16(body[1:]))
		if size > len(body)-3 {
			return source, destination, flowtable.Ref{}, nil, errProxyHeader
		}
		if kind == tlvFlowRef && size == 8 {
			ref = flowtable.Ref{Index: int32(binary.BigEndian.Uint32(body[3:])), Gen: binary.BigEndian.Uint32(body[7:])}
		}
		body = body[3+size:]
	}
	return source, destination, ref, rest, nil
}
