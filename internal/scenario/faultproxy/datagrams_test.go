package faultproxy

import (
	"fmt"
	"net"
	"runtime"
	"testing"
	"time"
)

// testParties is a proxy with two parties. The proxy has the sender under the name mouth and the
// receiver under the name ear.
type testParties struct {
	proxy    *Proxy
	addr     string // on which the proxy listens for the receiver
	receiver *net.UDPConn
	sender   *net.UDPConn
	listener net.Listener
}

func newTestParties(t *testing.T, seed uint64) *testParties {
	parties := &testParties{proxy: New(seed)}
	t.Cleanup(parties.proxy.Close)
	var err error
	if parties.listener, err = net.Listen("tcp", "127.0.3.2:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = parties.listener.Close() })
	addr := parties.listener.Addr().(*net.TCPAddr)
	if parties.receiver, err = net.ListenUDP("udp", &net.UDPAddr{IP: addr.IP, Port: addr.Port}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = parties.receiver.Close() })
	if parties.sender, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 3, 1)}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = parties.sender.Close() })
	if _, err = parties.proxy.Add("mouth", "127.0.3.1:1", "127.0.4.1"); err != nil {
		t.Fatal(err)
	}
	if parties.addr, err = parties.proxy.Add("ear", addr.String(), "127.0.4.2"); err != nil {
		t.Fatal(err)
	}
	return parties
}

// sendDatagrams sends n datagrams under a fault and returns how often each of them arrived. A final
// datagram, sent without a fault, marks the end.
func (parties *testParties) sendDatagrams(t *testing.T, n int, f Fault) map[string]int {
	t.Helper()
	to, err := net.ResolveUDPAddr("udp", parties.addr)
	if err != nil {
		t.Fatal(err)
	}
	parties.proxy.Set("mouth", "ear", f)
	for i := range n {
		before, _ := parties.proxy.Transferred("mouth")
		if _, err := parties.sender.WriteToUDP([]byte(fmt.Sprintf("%4d", i)), to); err != nil {
			t.Fatal(err)
		}
		// Wait until the proxy has received the datagram.
		for sent := before; sent == before; sent, _ = parties.proxy.Transferred("mouth") {
			runtime.Gosched()
		}
	}
	parties.proxy.Heal()
	if _, err := parties.sender.WriteToUDP([]byte("last"), to); err != nil {
		t.Fatal(err)
	}
	received := map[string]int{}
	buf := make([]byte, 100)
	for {
		if err := parties.receiver.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
			t.Fatal(err)
		}
		m, err := parties.receiver.Read(buf)
		if err != nil {
			t.Fatal(err)
		}
		if string(buf[:m]) == "last" {
			return received
		}
		received[string(buf[:m])]++
	}
}

func TestDatagramFaults(t *testing.T) {
	for _, tt := range []struct {
		name            string
		fault           Fault
		atLeast, atMost int // arrivals for 100 datagrams sent
	}{
		{"no fault", Fault{}, 100, 100},
		{"cut", Fault{Cut: true}, 0, 0},
		{"half dropped", Fault{Drop: 0.5}, 30, 70},
		{"all twice", Fault{Duplicate: 1}, 200, 200},
	} {
		var first map[string]int
		for range 2 { // the same seed must give the same losses
			all := 0
			received := newTestParties(t, 3).sendDatagrams(t, 100, tt.fault)
			for _, n := range received {
				all += n
			}
			if all < tt.atLeast || all > tt.atMost {
				t.Errorf("%s: %d datagrams of 100 arrived, want %d to %d", tt.name, all, tt.atLeast, tt.atMost)
			}
			if first != nil && fmt.Sprint(first) != fmt.Sprint(received) {
				t.Errorf("%s: two runs with the same seed differ", tt.name)
			}
			first = received
		}
	}
}
