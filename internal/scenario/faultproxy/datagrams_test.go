package faultproxy

import (
	"fmt"
	"net"
	"runtime"
	"testing"
	"time"
)

// testParties are two parties of a proxy: the sender is called mouth there, the receiver ear.
type testParties struct {
	proxy    *Proxy
	addr     string // where the proxy listens for the receiver
	receiver *net.UDPConn
	sender   *net.UDPConn
	listener net.Listener
}

func newTestParties(t *testing.T, seed uint64) *testParties {
	e := &testParties{proxy: New(seed)}
	t.Cleanup(e.proxy.Close)
	var err error
	if e.listener, err = net.Listen("tcp", "127.0.3.2:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = e.listener.Close() })
	addr := e.listener.Addr().(*net.TCPAddr)
	if e.receiver, err = net.ListenUDP("udp", &net.UDPAddr{IP: addr.IP, Port: addr.Port}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = e.receiver.Close() })
	if e.sender, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 3, 1)}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = e.sender.Close() })
	if _, err = e.proxy.Add("mouth", "127.0.3.1:1", "127.0.4.1"); err != nil {
		t.Fatal(err)
	}
	if e.addr, err = e.proxy.Add("ear", addr.String(), "127.0.4.2"); err != nil {
		t.Fatal(err)
	}
	return e
}

// sendDatagrams sends n datagrams under a fault and returns how often each arrived. A last one is
// sent without a fault and ends the count.
func (e *testParties) sendDatagrams(t *testing.T, n int, f Fault) map[string]int {
	t.Helper()
	to, err := net.ResolveUDPAddr("udp", e.addr)
	if err != nil {
		t.Fatal(err)
	}
	e.proxy.Set("mouth", "ear", f)
	for i := range n {
		before, _ := e.proxy.Transferred("mouth")
		if _, err := e.sender.WriteToUDP([]byte(fmt.Sprintf("%4d", i)), to); err != nil {
			t.Fatal(err)
		}
		for sent := before; sent == before; sent, _ = e.proxy.Transferred("mouth") { // the proxy has it
			runtime.Gosched()
		}
	}
	e.proxy.Heal()
	if _, err := e.sender.WriteToUDP([]byte("last"), to); err != nil {
		t.Fatal(err)
	}
	received := map[string]int{}
	buf := make([]byte, 100)
	for {
		if err := e.receiver.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
			t.Fatal(err)
		}
		m, err := e.receiver.Read(buf)
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
		name        string
		fault       Fault
		least, most int // of a hundred
	}{
		{"no fault", Fault{}, 100, 100},
		{"cut", Fault{Cut: true}, 0, 0},
		{"half dropped", Fault{Drop: 0.5}, 30, 70},
		{"all twice", Fault{Duplicate: 1}, 200, 200},
	} {
		var first map[string]int
		for range 2 { // the same seed, the same losses
			all := 0
			received := newTestParties(t, 3).sendDatagrams(t, 100, tt.fault)
			for _, n := range received {
				all += n
			}
			if all < tt.least || all > tt.most {
				t.Errorf("%s: %d of 100 arrived, want %d to %d", tt.name, all, tt.least, tt.most)
			}
			if first != nil && fmt.Sprint(first) != fmt.Sprint(received) {
				t.Errorf("%s: two runs differ", tt.name)
			}
			first = received
		}
	}
}
