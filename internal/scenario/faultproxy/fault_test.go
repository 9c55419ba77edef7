package faultproxy

import (
	"fmt"
	"net"
	"runtime"
	"testing"
	"time"
)

// ends are two parties, one that speaks and one that listens.
type ends struct {
	r      *Proxy
	to     string       // where the listener is reached
	ear    *net.UDPConn // its datagrams
	mouth  *net.UDPConn
	stream net.Listener
}

func newEnds(t *testing.T, seed uint64) *ends {
	e := &ends{r: New(seed)}
	t.Cleanup(e.r.Close)
	var err error
	if e.stream, err = net.Listen("tcp", "127.0.3.2:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = e.stream.Close() })
	addr := e.stream.Addr().(*net.TCPAddr)
	if e.ear, err = net.ListenUDP("udp", &net.UDPAddr{IP: addr.IP, Port: addr.Port}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = e.ear.Close() })
	if e.mouth, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 3, 1)}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = e.mouth.Close() })
	if _, err = e.r.Add("mouth", "127.0.3.1:1", "127.0.4.1"); err != nil {
		t.Fatal(err)
	}
	if e.to, err = e.r.Add("ear", addr.String(), "127.0.4.2"); err != nil {
		t.Fatal(err)
	}
	return e
}

// say sends n datagrams and returns how often each arrived; the last is sent without a
// fault until it has, and ends the count.
func (e *ends) say(t *testing.T, n int, f Fault) map[string]int {
	t.Helper()
	to, err := net.ResolveUDPAddr("udp", e.to)
	if err != nil {
		t.Fatal(err)
	}
	e.r.Set("mouth", "ear", f)
	for i := range n {
		before, _ := e.r.Transferred("mouth")
		if _, err := e.mouth.WriteToUDP([]byte(fmt.Sprintf("%4d", i)), to); err != nil {
			t.Fatal(err)
		}
		for said := before; said == before; said, _ = e.r.Transferred("mouth") { // the relay has it
			runtime.Gosched()
		}
	}
	e.r.Heal()
	if _, err := e.mouth.WriteToUDP([]byte("last"), to); err != nil {
		t.Fatal(err)
	}
	heard := map[string]int{}
	buf := make([]byte, 100)
	for {
		if err := e.ear.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
			t.Fatal(err)
		}
		m, err := e.ear.Read(buf)
		if err != nil {
			t.Fatal(err)
		}
		if string(buf[:m]) == "last" {
			return heard
		}
		heard[string(buf[:m])]++
	}
}

func TestDatagrams(t *testing.T) {
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
		for range 2 { // the same seed, the same fate
			all := 0
			heard := newEnds(t, 3).say(t, 100, tt.fault)
			for _, n := range heard {
				all += n
			}
			if all < tt.least || all > tt.most {
				t.Errorf("%s: %d of 100 arrived, want %d to %d", tt.name, all, tt.least, tt.most)
			}
			if first != nil && fmt.Sprint(first) != fmt.Sprint(heard) {
				t.Errorf("%s: two runs differ", tt.name)
			}
			first = heard
		}
	}
}
