package loopback

import (
	"net"
	"testing"
)

// Guards against an address that is allocated twice, and against a reserved one that cannot be
// listened on.
func TestReserveGivesEachAddressOnce(t *testing.T) {
	const count = 1000
	seen := map[string]bool{}
	for range count {
		addr, err := Reserve()
		if err != nil {
			t.Fatal(err)
		}
		if seen[addr] {
			t.Fatalf("%s was given twice", addr)
		}
		seen[addr] = true
	}
	addr, err := Reserve()
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	if err := listener.Close(); err != nil {
		t.Error(err)
	}
}
