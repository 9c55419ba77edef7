package udp

import (
	"bytes"
	"net/netip"
	"testing"

	"coralrelay/internal/flowtable"
)

// A parsed header is unchanged after it is written and parsed again.
func FuzzProxyHeader(f *testing.F) {
	ipv4, ipv6 := netip.MustParseAddrPort("127.0.0.9:53"), netip.MustParseAddrPort("[::1]:7")
	f.Add(append(appendProxyHeader(nil, ipv4, ipv4, flowtable.Ref{}), "hello"...))
	f.Add(append(appendProxyHeader(nil, ipv6, ipv4, flowtable.Ref{Index: 7, Gen: 3}), "hello"...))
	f.Add([]byte(proxySignature))
	f.Fuzz(func(t *testing.T, datagram []byte) {
		source, destination, ref, rest, err := parseProxyHeader(datagram)
		if err != nil {
			return
		}
		if ref.Gen == 0 {
			ref = flowtable.Ref{} // generation 0 refers to no flow
		}
		written := append(appendProxyHeader(nil, source, destination, ref), rest...)
		source2, destination2, ref2, rest2, err := parseProxyHeader(written)
		if err != nil {
			t.Fatalf("%v -> %v: %v", source, destination, err)
		}
		if source2.Port() != source.Port() || destination2.Addr().Unmap() != destination.Addr().Unmap() {
			t.Errorf("%v -> %v became %v -> %v", source, destination, source2, destination2)
		}
		if ref2 != ref || !bytes.Equal(rest, rest2) {
			t.Errorf("%v %q became %v %q", ref, rest, ref2, rest2)
		}
	})
}
