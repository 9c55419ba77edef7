package faultproxy

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// echo answers each line that comes to l, and tells of it.
func echo(l net.Listener, heard chan<- string) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			in := bufio.NewScanner(conn)
			for in.Scan() {
				heard <- in.Text()
				fmt.Fprintln(conn, in.Text())
			}
		}()
	}
}

// call opens a stream from the mouth, or from anywhere.
func dialProxy(to string, mouth bool) (net.Conn, error) {
	d := net.Dialer{Timeout: 5 * time.Second}
	if mouth {
		d.LocalAddr = &net.TCPAddr{IP: net.IPv4(127, 0, 3, 1)}
	}
	return d.Dial("tcp", to)
}

// said says a line and returns what came back.
func exchangeLine(conn net.Conn, text string, patience time.Duration) (string, error) {
	_ = conn.SetDeadline(time.Now().Add(patience))
	fmt.Fprintln(conn, text)
	answer := make([]byte, len(text)+1)
	n, err := conn.Read(answer)
	return string(answer[:n]), err
}

const longTimeout, shortTimeout = 5 * time.Second, 100 * time.Millisecond

func TestStreamFaults(t *testing.T) {
	silent := os.ErrDeadlineExceeded
	for _, tt := range []struct {
		name         string
		fault        func(r *Proxy)
		fresh        error // of a new stream, nil for an answer
		stands       error // of one that stood before
		heard        bool  // what it says all the same
		least, below time.Duration
	}{
		{"no fault", func(*Proxy) {}, nil, nil, true, 0, longTimeout},
		{"cut both ways", func(r *Proxy) { r.SetBetween([]string{"mouth"}, []string{"ear"}, Fault{Cut: true}) }, silent, silent, false, 0, longTimeout},
		{"cut there", func(r *Proxy) { r.Set("mouth", "ear", Fault{Cut: true}) }, silent, silent, false, 0, longTimeout},
		{"cut back", func(r *Proxy) { r.Set("ear", "mouth", Fault{Cut: true}) }, silent, silent, true, 0, longTimeout},
		{"zones cut", func(r *Proxy) { r.SetBetweenZones("a", "b", Fault{Cut: true}) }, silent, silent, false, 0, longTimeout},
		{"another pair of zones cut", func(r *Proxy) { r.SetBetweenZones("b", "b", Fault{Cut: true}) }, nil, nil, true, 0, longTimeout},
		{"delays add", func(r *Proxy) {
			r.SetBetweenZones("a", "b", Fault{Delay: 30 * time.Millisecond})
			r.Set("mouth", "ear", Fault{Delay: 20 * time.Millisecond})
			r.SetBetweenZones("b", "a", Fault{Delay: 40 * time.Millisecond})
		}, nil, nil, true, 90 * time.Millisecond, longTimeout},
	} {
		e := newTestParties(t, 1)
		e.proxy.SetZone("mouth", "a")
		e.proxy.SetZone("ear", "b")
		heard := make(chan string, 10)
		go echo(e.listener, heard)
		patience := longTimeout
		if tt.stands != nil {
			patience = shortTimeout
		}
		stands, err := dialProxy(e.addr, true)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := exchangeLine(stands, "first", longTimeout); err != nil {
			t.Fatal(err)
		}
		<-heard
		tt.fault(e.proxy)
		begun := time.Now()
		if _, err := exchangeLine(stands, "standing", patience); !errors.Is(err, tt.stands) {
			t.Errorf("%s: one that stood: %v, want %v", tt.name, err, tt.stands)
		}
		if took := time.Since(begun); took < tt.least || took > tt.below {
			t.Errorf("%s: an answer after %v, want %v to %v", tt.name, took, tt.least, tt.below)
		}
		fresh, err := dialProxy(e.addr, true)
		if err == nil {
			_, err = exchangeLine(fresh, "fresh", patience)
		}
		if !errors.Is(err, tt.fresh) {
			t.Errorf("%s: a new one: %v, want %v", tt.name, err, tt.fresh)
		}
		if tt.heard != (len(heard) > 0) {
			t.Errorf("%s: %d lines heard, want some: %v", tt.name, len(heard), tt.heard)
		}
		e.proxy.Heal()
		if tt.fresh != nil { // what was lost is lost: the stream ends, and a new one is made
			_ = fresh.SetDeadline(time.Now().Add(longTimeout))
			if n, err := fresh.Read(make([]byte, 1)); n > 0 || errors.Is(err, silent) {
				t.Errorf("%s: healed, a cut stream goes on: %v", tt.name, err)
			}
			again, err := dialProxy(e.addr, true)
			if err == nil {
				_, err = exchangeLine(again, "again", longTimeout)
			}
			if err != nil {
				t.Errorf("%s: healed: %v", tt.name, err)
			}
		}
	}
}

// Two speakers from one address are told apart by where they come; a party whose process is
// gone refuses, and takes again at the same address.
func TestListenerNamesItsClient(t *testing.T) {
	e := newTestParties(t, 1)
	heard := make(chan string, 10)
	go echo(e.listener, heard)
	at := map[string]string{}
	for _, name := range []string{"n0", "n1"} {
		var err error
		if at[name], err = e.proxy.AddFor(name, "s0", e.listener.Addr().String(), "127.0.4.3"); err != nil {
			t.Fatal(err)
		}
	}
	e.proxy.Set("n0", "s0", Fault{Cut: true})
	for name, want := range map[string]error{"n0": os.ErrDeadlineExceeded, "n1": nil} {
		patience := longTimeout
		if want != nil {
			patience = shortTimeout
		}
		conn, err := dialProxy(at[name], false)
		if err == nil {
			_, err = exchangeLine(conn, name, patience)
		}
		if !errors.Is(err, want) {
			t.Errorf("%s: %v, want %v", name, err, want)
		}
	}
	for _, gone := range []bool{true, false} {
		if err := e.proxy.SetDown("s0", gone); err != nil {
			t.Fatal(err)
		}
		if _, err := dialProxy(at["n1"], false); errors.Is(err, syscall.ECONNREFUSED) != gone {
			t.Errorf("gone %v: %v", gone, err)
		}
	}
}
