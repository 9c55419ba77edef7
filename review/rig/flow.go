package rig

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Flow is a client that sends status beacons as datagrams: one in each interval, from one address.
type Flow struct {
	Name           string
	Sent, Answered atomic.Int64

	conn net.Conn
	stop chan struct{}

	mu      sync.Mutex
	answers map[string]bool // texts received
}

// Received reports whether the client has received an answer with this text.
func (f *Flow) Received(text string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.answers[text]
}

// StartFlow starts a flow to an address.
func StartFlow(c *Case, name, to string, interval time.Duration) (*Flow, error) {
	conn, err := net.Dial("udp", to)
	if err != nil {
		return nil, err
	}
	f := &Flow{Name: name, conn: conn, stop: make(chan struct{}), answers: map[string]bool{}}
	c.Cleanup(func() { _ = conn.Close() })
	go f.send(interval)
	go f.receive()
	return f, nil
}

// Stop ends the flow.
func (f *Flow) Stop() {
	close(f.stop)
	_ = f.conn.Close()
}

func (f *Flow) send(interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for seq := 0; ; seq++ {
		if _, err := fmt.Fprintf(f.conn, "%s %d status ok", f.Name, seq); err == nil {
			f.Sent.Add(1)
		}
		select {
		case <-f.stop:
			return
		case <-ticker.C:
		}
	}
}

func (f *Flow) receive() {
	buffer := make([]byte, 2048)
	for {
		n, err := f.conn.Read(buffer)
		if err != nil {
			select {
			case <-f.stop:
				return
			case <-time.After(time.Millisecond): // refused, or closed at the end of the case
				continue
			}
		}
		f.Answered.Add(1)
		f.mu.Lock()
		f.answers[string(buffer[:n])] = true
		f.mu.Unlock()
	}
}

// clientPort is the port of all clients of DialDatagrams, each of which has an address of its own.
const clientPort = 9200

// DialDatagrams returns a socket for datagrams to an address, from a loopback address that belongs to the
// client with this number alone.
func DialDatagrams(number int, to string) (net.Conn, error) {
	from := &net.UDPAddr{IP: net.IPv4(127, 1+byte(number>>16)%50, byte(number>>8), byte(number)), Port: clientPort}
	return (&net.Dialer{LocalAddr: from}).Dial("udp", to)
}
