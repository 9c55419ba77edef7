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

// echo echoes each line that comes to l, and sends it to received.
func echo(l net.Listener, received chan<- string) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			in := bufio.NewScanner(conn)
			for in.Scan() {
				received <- in.Text()
				fmt.Fprintln(conn, in.Text())
			}
		}()
	}
}

// dialProxy opens a stream from the sender's IP, or from the system's choice.
func dialProxy(to string, fromSender bool) (net.Conn, error) {
	d := net.Dialer{Timeout: 5 * time.Second}
	if fromSender {
		d.LocalAddr = &net.TCPAddr{IP: net.IPv4(127, 0, 3, 1)}
	}
	return d.Dial("tcp", to)
}

// exchangeLine sends a line and returns what came back.
func exchangeLine(conn net.Conn, text string, timeout time.Duration) (string, error) {
	_ = conn.SetDeadline(time.Now().Add(timeout))
	fmt.Fprintln(conn, text)
	answer := make([]byte, len(text)+1)
	n, err := conn.Read(answer)
	return string(answer[:n]), err
}

const longTimeout, shortTimeout = 5 * time.Second, 100 * time.Millisecond

// streamFaultCase is a fault, and what it does to a new stream and to one that was established before.
type streamFaultCase struct {
	name             string
	fault            func(p *Proxy)
	newStreamError   error // of a new stream, nil for an answer
	establishedError error // of the established one
	isReceived       bool  // what the clients send arrives all the same
	atLeast, atMost  time.Duration
}

var errSilent = os.ErrDeadlineExceeded

var streamFaultCases = []streamFaultCase{
	{"no fault", func(*Proxy) {}, nil, nil, true, 0, longTimeout},
	{"cut both ways", func(p *Proxy) {
		p.SetBetween([]string{"mouth"}, []string{"ear"}, Fault{Cut: true})
	}, errSilent, errSilent, false, 0, longTimeout},
	{"cut there", func(p *Proxy) {
		p.Set("mouth", "ear", Fault{Cut: true})
	}, errSilent, errSilent, false, 0, longTimeout},
	{"cut back", func(p *Proxy) {
		p.Set("ear", "mouth", Fault{Cut: true})
	}, errSilent, errSilent, true, 0, longTimeout},
	{"zones cut", func(p *Proxy) {
		p.SetBetweenZones("a", "b", Fault{Cut: true})
	}, errSilent, errSilent, false, 0, longTimeout},
	{"another pair of zones cut", func(p *Proxy) {
		p.SetBetweenZones("b", "b", Fault{Cut: true})
	}, nil, nil, true, 0, longTimeout},
	{"delays add", func(p *Proxy) {
		p.SetBetweenZones("a", "b", Fault{Delay: 30 * time.Millisecond})
		p.Set("mouth", "ear", Fault{Delay: 20 * time.Millisecond})
		p.SetBetweenZones("b", "a", Fault{Delay: 40 * time.Millisecond})
	}, nil, nil, true, 90 * time.Millisecond, longTimeout},
}

func TestStreamFaults(t *testing.T) {
	for _, tt := range streamFaultCases {
		t.Run(tt.name, tt.run)
	}
}

func (tt streamFaultCase) run(t *testing.T) {
	e := newTestParties(t, 1)
	e.proxy.SetZone("mouth", "a")
	e.proxy.SetZone("ear", "b")
	received := make(chan string, 10)
	go echo(e.listener, received)
	timeout := longTimeout
	if tt.establishedError != nil {
		timeout = shortTimeout
	}
	established, err := dialProxy(e.addr, true)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := exchangeLine(established, "first", longTimeout); err != nil {
		t.Fatal(err)
	}
	<-received
	tt.fault(e.proxy)
	begun := time.Now()
	if _, err := exchangeLine(established, "standing", timeout); !errors.Is(err, tt.establishedError) {
		t.Errorf("the established stream: %v, want %v", err, tt.establishedError)
	}
	if took := time.Since(begun); took < tt.atLeast || took > tt.atMost {
		t.Errorf("an answer after %v, want %v to %v", took, tt.atLeast, tt.atMost)
	}
	fresh, err := dialProxy(e.addr, true)
	if err == nil {
		_, err = exchangeLine(fresh, "fresh", timeout)
	}
	if !errors.Is(err, tt.newStreamError) {
		t.Errorf("a new stream: %v, want %v", err, tt.newStreamError)
	}
	if tt.isReceived != (len(received) > 0) {
		t.Errorf("%d lines received, want some: %v", len(received), tt.isReceived)
	}
	e.proxy.Heal()
	if tt.newStreamError != nil {
		checkHealed(t, e, fresh)
	}
}

// checkHealed checks that a stream that was cut ends, as what it lost is lost, and that a new one is
// forwarded.
func checkHealed(t *testing.T, e *testParties, cut net.Conn) {
	t.Helper()
	_ = cut.SetDeadline(time.Now().Add(longTimeout))
	if n, err := cut.Read(make([]byte, 1)); n > 0 || errors.Is(err, errSilent) {
		t.Errorf("healed, a cut stream goes on: %v", err)
	}
	again, err := dialProxy(e.addr, true)
	if err == nil {
		_, err = exchangeLine(again, "again", longTimeout)
	}
	if err != nil {
		t.Errorf("healed: %v", err)
	}
}

// Two clients with one IP are known by their listeners; a party whose process is down refuses, and
// accepts again on the same address.
func TestListenerNamesItsClient(t *testing.T) {
	e := newTestParties(t, 1)
	received := make(chan string, 10)
	go echo(e.listener, received)
	at := map[string]string{}
	for _, name := range []string{"n0", "n1"} {
		var err error
		if at[name], err = e.proxy.AddFor(name, "s0", e.listener.Addr().String(), "127.0.4.3"); err != nil {
			t.Fatal(err)
		}
	}
	e.proxy.Set("n0", "s0", Fault{Cut: true})
	for name, want := range map[string]error{"n0": os.ErrDeadlineExceeded, "n1": nil} {
		timeout := longTimeout
		if want != nil {
			timeout = shortTimeout
		}
		conn, err := dialProxy(at[name], false)
		if err == nil {
			_, err = exchangeLine(conn, name, timeout)
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
