package udp

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/dispatch"
)

// fakeDispatcher places each flow at the endpoint set by placeAt, rejects it or leaves it waiting.
type fakeDispatcher struct {
	mu          sync.Mutex
	endpointID  string // empty to leave flows waiting
	reject      bool
	retryAt     string // endpoint for the retry of a failed attempt; empty for no retry
	submitted   []dispatch.Placement
	established map[dispatch.Placement]string
	ended       []balance.Outcome
	starter     dispatch.AttemptStarter
}

func newFakeDispatcher(endpointID string) *fakeDispatcher {
	return &fakeDispatcher{endpointID: endpointID, established: map[dispatch.Placement]string{}}
}

func (d *fakeDispatcher) Submit(placement dispatch.Placement, starter dispatch.AttemptStarter) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.submitted = append(d.submitted, placement)
	d.starter = starter
	switch {
	case d.reject:
		placement.Reject(0)
	case d.endpointID != "":
		starter.StartAttempt(placement, 0, d.endpointID, placement.PlacementRequest().Deadline)
	}
}

func (d *fakeDispatcher) ClientGone(dispatch.Placement) {}

func (d *fakeDispatcher) PlacementEnded(_ dispatch.Placement, outcome balance.Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ended = append(d.ended, outcome)
}

func (d *fakeDispatcher) AttemptEstablished(
	placement dispatch.Placement, _ int, endpointID string, _ time.Duration,
) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.established[placement] = endpointID
}

func (d *fakeDispatcher) AttemptEnded(
	placement dispatch.Placement, attempt int, _ string,
	_ balance.Outcome, _ time.Duration, _ balance.LoadReport,
) {
	d.mu.Lock()
	retryAt := d.retryAt
	d.mu.Unlock()
	if retryAt == "" {
		placement.Fail()
	} else {
		d.starter.StartAttempt(placement, attempt+1, retryAt, placement.PlacementRequest().Deadline)
	}
}

// placeAt sets the endpoint for new placements. If it is empty, flows wait.
func (d *fakeDispatcher) placeAt(endpointID string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.endpointID = endpointID
}

func (d *fakeDispatcher) submissions() []dispatch.Placement {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.submitted
}

func (d *fakeDispatcher) outcomes() []balance.Outcome {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ended
}

// fakeEndpoints are endpoints that answer each datagram with their name, a colon and the datagram.
type fakeEndpoints struct {
	listExpired  atomic.Bool // the lease of the endpoint list is expired
	mu           sync.Mutex
	addresses    map[string]string
	conns        map[string]*net.UDPConn
	draining     map[string]bool
	unresponsive map[string]bool     // endpoints that answer no probes
	hung         map[string]bool     // endpoints that answer no datagrams
	received     map[string][]string // first receivedPrefixLen bytes of each datagram
}

func newFakeEndpoints(t testing.TB, names ...string) *fakeEndpoints {
	t.Helper()
	endpoints := &fakeEndpoints{
		addresses:    map[string]string{},
		conns:        map[string]*net.UDPConn{},
		draining:     map[string]bool{},
		unresponsive: map[string]bool{},
		hung:         map[string]bool{},
		received:     map[string][]string{},
	}
	for _, name := range names {
		endpoints.start(t, name)
	}
	return endpoints
}

func (e *fakeEndpoints) start(t testing.TB, name string) {
	t.Helper()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	e.mu.Lock()
	e.addresses[name], e.conns[name] = conn.LocalAddr().String(), conn
	e.mu.Unlock()
	go e.serve(name, conn)
}

func (e *fakeEndpoints) serve(name string, conn *net.UDPConn) {
	buffer := make([]byte, maxDatagramSize)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		header, payload := []byte{}, buffer[:n]
		if _, _, _, rest, err := parseProxyHeader(payload); err == nil { // replies repeat the header
			header, payload = bytes.Clone(payload[:n-len(rest)]), rest
		}
		if isHung := e.receive(name, payload); isHung {
			continue
		}
		answer := append(append(header, name+":"...), payload...)
		_, _ = conn.WriteToUDPAddrPort(answer[:min(len(answer), maxDatagramSize)], from)
	}
}

func (e *fakeEndpoints) receive(name string, payload []byte) (isHung bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.received[name] = append(e.received[name], string(payload[:min(len(payload), receivedPrefixLen)]))
	return e.hung[name]
}

// receivedPrefixLen is the number of bytes of each datagram that fakeEndpoints keep.
const receivedPrefixLen = 20

func (e *fakeEndpoints) Address(endpointID string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.addresses[endpointID]
}

func (e *fakeEndpoints) CanSend(endpointID string, _ time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.draining[endpointID]
}

func (e *fakeEndpoints) CanBindFlow(endpointID string, now time.Time) bool {
	return e.CanSend(endpointID, now) && !e.listExpired.Load()
}

func (e *fakeEndpoints) IsDraining(endpointID string, now time.Time) bool {
	return !e.CanSend(endpointID, now)
}

func (e *fakeEndpoints) IsResponsive(endpointID string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.unresponsive[endpointID]
}

// setDraining makes the given endpoint the only one that drains.
func (e *fakeEndpoints) setDraining(endpointID string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = map[string]bool{endpointID: true}
}

// count returns the number of datagrams that an endpoint has received.
func (e *fakeEndpoints) count(endpointID string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.received[endpointID])
}
