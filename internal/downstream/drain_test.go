package downstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/bufconn"
	"coralrelay/internal/dispatch"
	"coralrelay/internal/proxy"
)

// parked takes transactions and answers none. What it is told it keeps, in order.
type parkingDispatcher struct {
	submitted chan *proxy.Session
	events    chan string
	release   chan struct{} // Submit waits for it; nil for nothing
}

func newParkingDispatcher() *parkingDispatcher {
	return &parkingDispatcher{submitted: make(chan *proxy.Session, 64), events: make(chan string, 64)}
}

func (p *parkingDispatcher) Submit(item dispatch.Placement, _ dispatch.AttemptStarter) {
	p.submitted <- item.(*proxy.Session)
	if p.release != nil {
		<-p.release
	}
	p.events <- "submitted " + item.PlacementRequest().ID
}
func (p *parkingDispatcher) Adopt(dispatch.Placement, string) bool { return true }
func (p *parkingDispatcher) ClientGone(item dispatch.Placement) {
	p.events <- "gone " + item.PlacementRequest().ID
}
func (p *parkingDispatcher) PlacementEnded(item dispatch.Placement, _ balance.Outcome) {
	p.events <- "ended " + item.PlacementRequest().ID
}

// all is what comes until the end, which must be one in good order.
func readAll(t *testing.T, far net.Conn) string {
	t.Helper()
	text, err := io.ReadAll(far)
	if err != nil {
		t.Errorf("after %q: %v", text, err)
	}
	return string(text)
}

// By the plan's end everybody has the answer that is due, and the end of the connection in
// good order: who rests, who is being read out, who waits for longer than the plan lasts,
// and who stands. Once they were cut off.
func TestDrainAnswersEveryClient(t *testing.T) {
	dispatcher, listener := newParkingDispatcher(), make(fakeListener)
	s := New(dispatcher, nil, Limits{Sockets: 64})
	served := make(chan error, 1)
	go func() { served <- s.Serve(listener) }()
	connect := func(text string) net.Conn {
		near, far := connPair(t)
		listener <- near
		fmt.Fprint(far, text)
		return far
	}
	idle := connect("")
	halfLine := connect("OPEN h k c=fe")
	waiting := connect("OPEN late k c=feed,d=40000\r\n")
	sticky := connect("OPEN home k c=feed,d=40000,at=s1\r\n")
	for range 2 {
		<-dispatcher.submitted
	}
	established := connect("OPEN stands k c=feed,d=900\r\n")
	upstreamNear, upstream := connPair(t)
	if up := <-dispatcher.submitted; !up.Establish("UP r1", "s1", bufconn.New(upstreamNear)) {
		t.Fatal("not up")
	}
	if text, _ := bufio.NewReader(established).ReadString('\n'); text != "UP r1\r\n" {
		t.Fatalf("%q", text)
	}

	begun := time.Now()
	plan := DrainPlan{RejectAt: begun, MoveStartAt: begun.Add(200 * time.Millisecond), MoveEndAt: begun.Add(500 * time.Millisecond),
		EndAt: begun.Add(900 * time.Millisecond)}
	drained := make(chan time.Duration, 1)
	go func() { s.Drain(plan); drained <- time.Since(begun) }()
	for s.AcceptsClients() {
		time.Sleep(time.Millisecond)
	}
	if text := readAll(t, connect("OPEN new k c=feed,d=900\r\n")); text != "BUSY\r\n" {
		t.Errorf("who comes later: %q", text)
	}
	for name, c := range map[string]struct {
		far  net.Conn
		want string
	}{"rests": {idle, "BUSY\r\n"}, "half a line": {halfLine, "BUSY\r\n"}, "waits": {waiting, "ERR\r\n"},
		"waits for who holds it": {sticky, "ERR\r\n"}, "stands": {established, "MOVE\r\n"}} {
		if text := readAll(t, c.far); text != c.want {
			t.Errorf("%s: %q, want %q", name, text, c.want)
		}
		c.far.Close()
	}
	upstream.Close()
	if took := <-drained; took > 900*time.Millisecond+50*time.Millisecond {
		t.Errorf("it took %v", took)
	}
	_ = listener.Close()
	<-served
	s.Close()
	events := map[string]bool{}
	for len(dispatcher.events) > 0 {
		events[<-dispatcher.events] = true
	}
	for _, want := range []string{"gone late", "gone home", "ended stands"} {
		if !events[want] {
			t.Errorf("the decider was not told: %s (%v)", want, events)
		}
	}
	if events["submitted new"] || events["submitted h"] {
		t.Errorf("what was read after the beginning went on: %v", events)
	}
}

// The drain waits for who is being read out, and the end for who was accepted last: neither
// is cut while it still sends.
func TestDrainWaitsForLingeringClients(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, withSession := range []bool{false, true} {
			dispatcher, listener := newParkingDispatcher(), make(fakeListener)
			s := New(dispatcher, nil, Limits{Sockets: 64})
			served := make(chan error, 1)
			go func() { served <- s.Serve(listener) }()
			connect := func(text string) net.Conn {
				near, far := net.Pipe()
				listener <- near
				fmt.Fprint(far, text)
				return far
			}
			var stop func()
			if withSession {
				far := connect("OPEN stands k c=feed,d=900\r\n")
				near, upstream := net.Pipe()
				(<-dispatcher.submitted).Establish("UP r1", "s1", bufconn.New(near))
				lines := bufio.NewReader(far)
				_, _ = lines.ReadString('\n')
				stop = func() { _, _ = io.ReadAll(lines); far.Close(); upstream.Close() }
			}
			time.Sleep(time.Second)
			idle := connect("")
			begun := time.Now()
			plan := DrainPlan{RejectAt: begun, MoveStartAt: begun.Add(time.Second), MoveEndAt: begun.Add(2 * time.Second), EndAt: begun.Add(2400 * time.Millisecond)}
			drained := make(chan time.Duration, 1)
			go func() { s.Drain(plan); drained <- time.Since(begun) }()
			if withSession {
				go stop()
			}
			// Alone it is told when nobody comes any more, else by its own time.
			text, err := bufio.NewReader(idle).ReadString('\n')
			if at := time.Since(begun); text != "BUSY\r\n" || at > 2*time.Second || !withSession && (at < arrivalWindow || at > arrivalWindow+2*drainInterval) {
				t.Errorf("%q, %v after %v", text, err, at)
			}
			at := time.Now()
			for { // it sends on until the other side ends
				if _, err := fmt.Fprint(idle, "OPEN late k c=feed,d=900\r\n"); err != nil {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			if sent := time.Since(at); sent < lingerTimeout {
				t.Errorf("it was cut off %v after its answer", sent)
			}
			idle.Close()
			if took := <-drained; took > 2400*time.Millisecond {
				t.Errorf("it took %v", took)
			}
			last := func() net.Conn { near, far := net.Pipe(); listener <- near; return far }() // before the listener closes
			_ = listener.Close()
			<-served
			closed := make(chan struct{})
			go func() { s.Close(); close(closed) }()
			if text, err := bufio.NewReader(last).ReadString('\n'); text != "BUSY\r\n" {
				t.Errorf("who was accepted last: %q, %v", text, err)
			}
			last.Close()
			<-closed
		}
	})
}

// The last call comes between a transaction's admission and its way to the decider: it has
// one answer, and the decider, which has it by then, is told that it is over. Told before,
// it would have sent it on.
func TestGivesUpASessionBeingSubmitted(t *testing.T) {
	dispatcher, listener := newParkingDispatcher(), make(fakeListener)
	dispatcher.release = make(chan struct{})
	s := New(dispatcher, nil, Limits{Sockets: 64})
	served := make(chan error, 1)
	go func() { served <- s.Serve(listener) }()
	near, far := connPair(t)
	listener <- near
	fmt.Fprint(far, "OPEN a k c=feed,d=40000\r\n")
	<-dispatcher.submitted
	drained := make(chan struct{})
	go func() {
		now := time.Now()
		s.Drain(DrainPlan{RejectAt: now, MoveStartAt: now, MoveEndAt: now, EndAt: now.Add(finalAnswerTime + 100*time.Millisecond)})
		close(drained)
	}()
	for { // until newcomers are seen off unread
		near, other := connPair(t)
		listener <- near
		other.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		if text, _ := bufio.NewReader(other).ReadString('\n'); strings.HasPrefix(text, "BUSY") {
			break
		}
		other.Close()
	}
	close(dispatcher.release)
	if text := readAll(t, far); text != "ERR\r\n" {
		t.Errorf("answered %q", text)
	}
	far.Close()
	<-drained
	_ = listener.Close()
	<-served
	s.Close()
	if first, second := <-dispatcher.events, <-dispatcher.events; first != "submitted a" || second != "gone a" {
		t.Errorf("told %q, then %q", first, second)
	}
}
