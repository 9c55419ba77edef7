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

// echo accepts connections on l, echoes each line that it reads and sends the line to received.
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

// dialProxy opens a stream from the sender's IP, or from an IP that the system chooses.
func dialProxy(to string, fromSender bool) (net.Conn, error) {
	d := net.Dialer{Timeout: 5 * time.Second}
	if fromSender {
		d.LocalAddr = &net.TCPAddr{IP: net.IPv4(127, 0, 3, 1)}
	}
	return d.Dial("tcp", to)
}

// exchangeLine sends a line and returns the bytes that were read in response.
func exchangeLine(conn net.Conn, text string, timeout time.Duration) (string, error) {
	_ = conn.SetDeadline(time.Now().Add(timeout))
	fmt.Fprintln(conn, text)
	answer := make([]byte, len(text)+1)
	n, err := conn.Read(answer)
	return string(answer[:n]), err
}

const longTimeout, shortTimeout = 5 * time.Second, 100 * time.Millisecond

// streamFaultCase is a fault and its expected effects on a new stream and on one that was established
// before the fault.
type streamFaultCase struct {
	name             string
	fault            func(p *Proxy)
	newStreamError   error // expected on a new stream; nil if it gets an answer
	establishedError error // expected on the established stream
	isReceived       bool  // the receiver gets what the clients send
	atLeast, atMost  time.Duration
}

var errSilent = os.ErrDeadlineExceeded

var streamFaultCases = []streamFaultCase{
	{"no fault", func(*Proxy) {}, nil, nil, true, 0, longTimeout},
	{"cut both ways", func(p *Proxy) {
		p.SetBetween([]string{"mouth"}, []string{"ear"}, Fault{Cut: true})
	}, errSilent, errSilent, false, 0, longTimeout},
	{"cut towards the receiver", func(p *Proxy) {
		p.Set("mouth", "ear", Fault{Cut: true})
	}, errSilent, errSilent, false, 0, longTimeout},
	{"cut towards the sender", func(p *Proxy) {
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
	parties := newTestParties(t, 1)
	parties.proxy.SetZone("mouth", "a")
	parties.proxy.SetZone("ear", "b")
	received := make(chan string, 10)
	go echo(parties.listener, received)
	timeout := longTimeout
	if tt.establishedError != nil {
		timeout = shortTimeout
	}
	established, err := dialProxy(parties.addr, true)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := exchangeLine(established, "first", longTimeout); err != nil {
		t.Fatal(err)
	}
	<-received
	tt.fault(parties.proxy)
	startedAt := time.Now()
	if _, err := exchangeLine(established, "standing", timeout); !errors.Is(err, tt.establishedError) {
		t.Errorf("exchange on the established stream: error %v, want %v", err, tt.establishedError)
	}
	if took := time.Since(startedAt); took < tt.atLeast || took > tt.atMost {
		t.Errorf("answer on the established stream after %v, want %v to %v", took, tt.atLeast, tt.atMost)
	}
	fresh, err := dialProxy(parties.addr, true)
	if err == nil {
		_, err = exchangeLine(fresh, "fresh", timeout)
	}
	if !errors.Is(err, tt.newStreamError) {
		t.Errorf("exchange on a new stream: error %v, want %v", err, tt.newStreamError)
	}
	if tt.isReceived != (len(received) > 0) {
		t.Errorf("%d lines received after the fault, want any: %v", len(received), tt.isReceived)
	}
	parties.proxy.Heal()
	if tt.newStreamError != nil {
		checkHealed(t, parties, fresh)
	}
}

// checkHealed checks the state after a cut was healed: a stream that was cut has ended, because its
// lost bytes are not retransmitted, and a new stream is forwarded.
func checkHealed(t *testing.T, parties *testParties, cut net.Conn) {
	t.Helper()
	_ = cut.SetDeadline(time.Now().Add(longTimeout))
	if n, err := cut.Read(make([]byte, 1)); n > 0 || errors.Is(err, errSilent) {
		t.Errorf("a cut stream did not end after the cut was healed: %v", err)
	}
	again, err := dialProxy(parties.addr, true)
	if err == nil {
		_, err = exchangeLine(again, "again", longTimeout)
	}
	if err != nil {
		t.Errorf("new stream after the cut was healed: %v", err)
	}
}

// Clients that share an IP must be told apart by their listeners: a fault on one client must not affect
// the other. A party that is down must refuse connections, and accept them again on the same address.
func TestListenerNamesItsClient(t *testing.T) {
	parties := newTestParties(t, 1)
	received := make(chan string, 10)
	go echo(parties.listener, received)
	addrs := map[string]string{}
	for _, name := range []string{"n0", "n1"} {
		var err error
		if addrs[name], err = parties.proxy.AddFor(
			name, "s0", parties.listener.Addr().String(), "127.0.4.3",
		); err != nil {
			t.Fatal(err)
		}
	}
	parties.proxy.Set("n0", "s0", Fault{Cut: true})
	for name, want := range map[string]error{"n0": os.ErrDeadlineExceeded, "n1": nil} {
		timeout := longTimeout
		if want != nil {
			timeout = shortTimeout
		}
		conn, err := dialProxy(addrs[name], false)
		if err == nil {
			_, err = exchangeLine(conn, name, timeout)
		}
		if !errors.Is(err, want) {
			t.Errorf("exchange from %s: error %v, want %v", name, err, want)
		}
	}
	for _, down := range []bool{true, false} {
		if err := parties.proxy.SetDown("s0", down); err != nil {
			t.Fatal(err)
		}
		if _, err := dialProxy(addrs["n1"], false); errors.Is(err, syscall.ECONNREFUSED) != down {
			t.Errorf("dial with the party down %v: error %v", down, err)
		}
	}
}
