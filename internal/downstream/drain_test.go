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

	"coralrelay/internal/bufconn"
)

// By the end of the plan every client has the answer that is due, and the end of the
// connection without a reset: an idle one, one that lingers, one that waits for longer than
// the plan lasts, and one with an established session. Once they were cut off.
func TestDrainAnswersEveryClient(t *testing.T) {
	dispatcher := newParkingDispatcher()
	s := New(dispatcher, nil, Limits{Sockets: 64})
	listener, stop := serveAll(t, s)
	idle := listener.connect(t, "")
	halfLine := listener.connect(t, "OPEN h k c=fe")
	waiting := listener.connect(t, "OPEN late k c=feed,d=40000\r\n")
	sticky := listener.connect(t, "OPEN home k c=feed,d=40000,at=s1\r\n")
	for range 2 {
		<-dispatcher.submitted
	}
	established := listener.connect(t, "OPEN stands k c=feed,d=900\r\n")
	upstreamNear, upstream := connPair(t)
	if session := <-dispatcher.submitted; !session.Establish("UP r1", "s1", bufconn.New(upstreamNear)) {
		t.Fatal("UP was not taken")
	}
	if text, _ := bufio.NewReader(established).ReadString('\n'); text != "UP r1\r\n" {
		t.Fatalf("%q", text)
	}

	begun := time.Now()
	drained := startDrain(s, begun, DrainPlan{
		RejectAt:    begun,
		MoveStartAt: begun.Add(200 * time.Millisecond),
		MoveEndAt:   begun.Add(500 * time.Millisecond),
		EndAt:       begun.Add(900 * time.Millisecond),
	})
	for s.AcceptsClients() {
		time.Sleep(time.Millisecond)
	}
	if text := readAll(t, listener.connect(t, "OPEN new k c=feed,d=900\r\n")); text != "BUSY\r\n" {
		t.Errorf("a newcomer: %q", text)
	}
	for _, client := range []struct {
		name string
		far  net.Conn
		want string
	}{
		{"idle", idle, "BUSY\r\n"},
		{"half a line", halfLine, "BUSY\r\n"},
		{"waiting", waiting, "ERR\r\n"},
		{"waiting for its server", sticky, "ERR\r\n"},
		{"established", established, "MOVE\r\n"},
	} {
		if text := readAll(t, client.far); text != client.want {
			t.Errorf("%s: %q, want %q", client.name, text, client.want)
		}
		client.far.Close()
	}
	_ = upstream.Close()
	if took := <-drained; took > 900*time.Millisecond+50*time.Millisecond {
		t.Errorf("it took %v", took)
	}
	stop()
	expectDrainEvents(t, dispatcher)
}

// expectDrainEvents checks what the dispatcher of TestDrainAnswersEveryClient was notified of.
func expectDrainEvents(t *testing.T, dispatcher *parkingDispatcher) {
	t.Helper()
	events := map[string]bool{}
	for len(dispatcher.events) > 0 {
		events[<-dispatcher.events] = true
	}
	for _, want := range []string{"gone late", "gone home", "ended stands"} {
		if !events[want] {
			t.Errorf("the dispatcher was not notified: %s (%v)", want, events)
		}
	}
	if events["submitted new"] || events["submitted h"] {
		t.Errorf("what was read after the drain began was submitted: %v", events)
	}
}

// startDrain runs a drain. The returned channel receives the time from begun to its end.
func startDrain(s *Server, begun time.Time, plan DrainPlan) <-chan time.Duration {
	drained := make(chan time.Duration, 1)
	go func() {
		s.Drain(plan)
		drained <- time.Since(begun)
	}()
	return drained
}

// The drain waits for lingering clients, and Close for the one that was accepted last:
// neither is cut while it still sends.
func TestDrainWaitsForLingeringClients(t *testing.T) {
	for name, withSession := range map[string]bool{"alone": false, "with an established session": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testDrainWaitsForLingeringClients(t, withSession) })
		})
	}
}

func testDrainWaitsForLingeringClients(t *testing.T, withSession bool) {
	dispatcher := newParkingDispatcher()
	s := New(dispatcher, nil, Limits{Sockets: 64})
	listener := make(fakeListener)
	stopServing := serve(t, s, listener)
	var endSession func()
	if withSession {
		endSession = establishOnPipes(dispatcher, listener)
	}
	time.Sleep(time.Second)
	idle := listener.connectPipe("")
	begun := time.Now()
	drained := startDrain(s, begun, DrainPlan{
		RejectAt:    begun,
		MoveStartAt: begun.Add(time.Second),
		MoveEndAt:   begun.Add(2 * time.Second),
		EndAt:       begun.Add(2400 * time.Millisecond),
	})
	if withSession {
		go endSession()
	}
	text, err := bufio.NewReader(idle).ReadString('\n')
	answeredAfter := time.Since(begun)
	if text != "BUSY\r\n" || answeredAfter > 2*time.Second {
		t.Errorf("%q, %v after %v", text, err, answeredAfter)
	}
	// Alone it is answered when nobody arrives any more, else by its own time.
	if !withSession && (answeredAfter < arrivalWindow || answeredAfter > arrivalWindow+2*drainInterval) {
		t.Errorf("answered after %v, want about %v", answeredAfter, arrivalWindow)
	}
	if sent := writeUntilClosed(idle); sent < lingerTimeout {
		t.Errorf("it was cut off %v after its answer", sent)
	}
	idle.Close()
	if took := <-drained; took > 2400*time.Millisecond {
		t.Errorf("it took %v", took)
	}
	near, last := net.Pipe()
	listener <- near // before the listener closes
	stopServing()
	closed := make(chan struct{})
	go func() {
		s.Close()
		close(closed)
	}()
	if text, err := bufio.NewReader(last).ReadString('\n'); text != "BUSY\r\n" {
		t.Errorf("the client that was accepted last: %q, %v", text, err)
	}
	last.Close()
	<-closed
}

// establishOnPipes establishes a session. The returned function ends it when its client is
// migrated.
func establishOnPipes(dispatcher *parkingDispatcher, listener fakeListener) (end func()) {
	far := listener.connectPipe("OPEN stands k c=feed,d=900\r\n")
	near, upstream := net.Pipe()
	(<-dispatcher.submitted).Establish("UP r1", "s1", bufconn.New(near))
	lines := bufio.NewReader(far)
	_, _ = lines.ReadString('\n')
	return func() {
		_, _ = io.ReadAll(lines)
		far.Close()
		upstream.Close()
	}
}

// writeUntilClosed sends requests until the other side ends, and returns how long that took.
func writeUntilClosed(conn net.Conn) time.Duration {
	begun := time.Now()
	for {
		if _, err := fmt.Fprint(conn, "OPEN late k c=feed,d=900\r\n"); err != nil {
			return time.Since(begun)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// A session is given up between its admission and its submission: it has one answer, and the
// dispatcher, which has it by then, is notified that it is over. Notified before, it would
// have placed the session.
func TestGivesUpASessionBeingSubmitted(t *testing.T) {
	dispatcher := newParkingDispatcher()
	dispatcher.release = make(chan struct{})
	s := New(dispatcher, nil, Limits{Sockets: 64})
	listener, stop := serveAll(t, s)
	client := listener.connect(t, "OPEN a k c=feed,d=40000\r\n")
	<-dispatcher.submitted
	now := time.Now()
	end := now.Add(finalAnswerTime + 100*time.Millisecond)
	drained := startDrain(s, now, DrainPlan{RejectAt: now, MoveStartAt: now, MoveEndAt: now, EndAt: end})
	for { // until newcomers are rejected unread
		newcomer := listener.connect(t, "")
		if err := newcomer.SetReadDeadline(time.Now().Add(50 * time.Millisecond)); err != nil {
			t.Fatal(err)
		}
		if text, _ := bufio.NewReader(newcomer).ReadString('\n'); strings.HasPrefix(text, "BUSY") {
			break
		}
		newcomer.Close()
	}
	close(dispatcher.release)
	if text := readAll(t, client); text != "ERR\r\n" {
		t.Errorf("answered %q", text)
	}
	client.Close()
	<-drained
	stop()
	if first, second := <-dispatcher.events, <-dispatcher.events; first != "submitted a" || second != "gone a" {
		t.Errorf("notified %q, then %q", first, second)
	}
}
