package udp

import (
	"encoding/binary"
	"errors"
	"net/netip"

	"coralrelay/internal/flowtable"
)

var errProxyHeader = errors.New("missing or malformed PROXY v2 header for UDP")

// Constants of the PROXY protocol, version 2 (haproxy.org, proxy-protocol.txt, section 2.2). Each
// datagram has its own header, which tells the endpoint the client's address.
const (
	proxySignature      = "\r\n\r\n\x00\r\nQUIT\n"
	proxyVersionCommand = 0x21 // version 2, command PROXY
	proxyUDPv4          = 0x12
	proxyUDPv6          = 0x22

	proxyVersionOffset = len(proxySignature)
	proxyFamilyOffset  = proxyVersionOffset + 1
	proxyLengthOffset  = proxyFamilyOffset + 1
	proxyFixedLen      = proxyLengthOffset + 2
	proxyIPv4Len       = 2*4 + 2*2  // addresses and ports
	proxyIPv6Len       = 2*16 + 2*2 // addresses and ports

	// maxProxyHeaderLen is the length of the longest header that appendProxyHeader writes.
	maxProxyHeaderLen = proxyFixedLen + proxyIPv6Len + flowRefTLVLen
)

// Constants of the TLV (type, length, value) after the addresses that refers to the flow. An
// endpoint that uses a shared socket repeats the header in its replies, so that each reply can be
// matched to its flow.
const (
	tlvHeaderLen = 3
	// tlvFlowRef is in the range that section 2.2.8 reserves for applications, 0xE0 to 0xEF.
	tlvFlowRef    = 0xE0
	flowRefLen    = 4 + 4 // index and generation
	flowRefTLVLen = tlvHeaderLen + flowRefLen
)

// appendProxyHeader appends the header for a datagram from source to destination, with a
// reference to its flow unless ref is the zero value.
func appendProxyHeader(b []byte, source, destination netip.AddrPort, ref flowtable.Ref) []byte {
	tlvLen := 0
	if ref.Gen != 0 {
		tlvLen = flowRefTLVLen
	}
	b = append(b, proxySignature...)
	from, to := source.Addr().Unmap(), destination.Addr().Unmap()
	if from.Is4() && to.Is4() {
		b = append(b, proxyVersionCommand, proxyUDPv4)
		b = binary.BigEndian.AppendUint16(b, uint16(proxyIPv4Len+tlvLen))
		from4, to4 := from.As4(), to.As4()
		b = append(b, from4[:]...)
		b = append(b, to4[:]...)
	} else {
		b = append(b, proxyVersionCommand, proxyUDPv6)
		b = binary.BigEndian.AppendUint16(b, uint16(proxyIPv6Len+tlvLen))
		from16, to16 := source.Addr().As16(), destination.Addr().As16()
		b = append(b, from16[:]...)
		b = append(b, to16[:]...)
	}
	b = binary.BigEndian.AppendUint16(b, source.Port())
	b = binary.BigEndian.AppendUint16(b, destination.Port())
	if tlvLen > 0 {
		b = append(b, tlvFlowRef, 0, flowRefLen)
		b = binary.BigEndian.AppendUint32(b, uint32(ref.Index))
		b = binary.BigEndian.AppendUint32(b, ref.Gen)
	}
	return b
}

// parseProxyHeader parses a header and returns the bytes after it as rest. ref is the zero value
// unless the header refers to a flow. Other TLVs are skipped. The only error is errProxyHeader.
func parseProxyHeader(
	b []byte,
) (source, destination netip.AddrPort, ref flowtable.Ref, rest []byte, err error) {
	if !hasProxyPrefix(b) {
		return source, destination, ref, nil, errProxyHeader
	}
	length := int(binary.BigEndian.Uint16(b[proxyLengthOffset:]))
	body := b[proxyFixedLen:]
	if length > len(body) {
		return source, destination, ref, nil, errProxyHeader
	}
	body, rest = body[:length], body[length:]
	var tlvs []byte
	switch family := b[proxyFamilyOffset]; {
	case family == proxyUDPv4 && length >= proxyIPv4Len:
		source = netip.AddrPortFrom(netip.AddrFrom4([4]byte(body)), binary.BigEndian.Uint16(body[8:]))
		destination = netip.AddrPortFrom(
			netip.AddrFrom4([4]byte(body[4:])), binary.BigEndian.Uint16(body[10:]))
		tlvs = body[proxyIPv4Len:]
	case family == proxyUDPv6 && length >= proxyIPv6Len:
		source = netip.AddrPortFrom(netip.AddrFrom16([16]byte(body)), binary.BigEndian.Uint16(body[32:]))
		destination = netip.AddrPortFrom(
			netip.AddrFrom16([16]byte(body[16:])), binary.BigEndian.Uint16(body[34:]))
		tlvs = body[proxyIPv6Len:]
	default:
		return source, destination, ref, nil, errProxyHeader
	}
	ref, err = parseFlowRef(tlvs)
	if err != nil {
		return source, destination, flowtable.Ref{}, nil, err
	}
	return source, destination, ref, rest, nil
}

func hasProxyPrefix(b []byte) bool {
	return len(b) >= proxyFixedLen &&
		string(b[:len(proxySignature)]) == proxySignature &&
		b[proxyVersionOffset] == proxyVersionCommand
}

// parseFlowRef returns the last reference to a flow among the TLVs, or the zero value if there is
// none. The only error is errProxyHeader.
func parseFlowRef(tlvs []byte) (ref flowtable.Ref, err error) {
	for len(tlvs) >= tlvHeaderLen {
		kind := tlvs[0]
		length := int(binary.BigEndian.Uint16(tlvs[1:]))
		value := tlvs[tlvHeaderLen:]
		if length > len(value) {
			return flowtable.Ref{}, errProxyHeader
		}
		if kind == tlvFlowRef && length == flowRefLen {
			ref.Index = int32(binary.BigEndian.Uint32(value))
			ref.Gen = binary.BigEndian.Uint32(value[4:])
		}
		tlvs = value[length:]
	}
	return ref, nil
}
