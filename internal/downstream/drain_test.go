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

// By the end of the plan every client has got the right answer and the end of its connection
// without a reset: an idle client, a lingering one, one that waits for longer than the plan lasts,
// and one with an established session. They used to be cut off.
func TestDrainAnswersEveryClient(t *testing.T) {
	dispatcher := newHoldingDispatcher()
	s := New(dispatcher, nil, Limits{Sockets: 64})
	listener, stop := serveAll(t, s)
	idle := listener.connect(t, "")
	halfLine := listener.connect(t, "OPEN h k c=fe")
	waiting := listener.connect(t, "OPEN late k c=feed,d=40000\r\n")
	reattaching := listener.connect(t, "OPEN home k c=feed,d=40000,at=s1\r\n")
	for range 2 {
		<-dispatcher.submitted
	}
	established := listener.connect(t, "OPEN stands k c=feed,d=900\r\n")
	upstreamNear, upstream := connPair(t)
	if session := <-dispatcher.submitted; !session.Establish("UP r1", "s1", bufconn.New(upstreamNear)) {
		t.Fatal("the session did not accept UP")
	}
	if text, _ := bufio.NewReader(established).ReadString('\n'); text != "UP r1\r\n" {
		t.Fatalf("%q", text)
	}

	start := time.Now()
	drained := startDrain(s, start, DrainPlan{
		RejectAt:    start,
		MoveStartAt: start.Add(200 * time.Millisecond),
		MoveEndAt:   start.Add(500 * time.Millisecond),
		EndAt:       start.Add(900 * time.Millisecond),
	})
	for s.AcceptsClients() {
		time.Sleep(time.Millisecond)
	}
	if text := readAll(t, listener.connect(t, "OPEN new k c=feed,d=900\r\n")); text != "BUSY\r\n" {
		t.Errorf("a new client read %q", text)
	}
	for _, client := range []struct {
		name string
		far  net.Conn
		want string
	}{
		{"idle", idle, "BUSY\r\n"},
		{"half a line", halfLine, "BUSY\r\n"},
		{"waiting", waiting, "ERR\r\n"},
		{"waiting for its server", reattaching, "ERR\r\n"},
		{"established", established, "MOVE\r\n"},
	} {
		if text := readAll(t, client.far); text != client.want {
			t.Errorf("%s: read %q, want %q", client.name, text, client.want)
		}
		client.far.Close()
	}
	_ = upstream.Close()
	if took := <-drained; took > 900*time.Millisecond+50*time.Millisecond {
		t.Errorf("the drain took %v", took)
	}
	stop()
	expectDrainEvents(t, dispatcher)
}

// expectDrainEvents checks the notifications that the dispatcher of TestDrainAnswersEveryClient
// got.
func expectDrainEvents(t *testing.T, dispatcher *holdingDispatcher) {
	t.Helper()
	events := map[string]bool{}
	for len(dispatcher.events) > 0 {
		events[<-dispatcher.events] = true
	}
	for _, want := range []string{"gone late", "gone home", "ended stands"} {
		if !events[want] {
			t.Errorf("the dispatcher was not notified of %s, only of %v", want, events)
		}
	}
	if events["submitted new"] || events["submitted h"] {
		t.Errorf("a request read after the drain began was submitted: %v", events)
	}
}

// startDrain runs a drain. The returned channel receives the time from start to its end.
func startDrain(s *Server, start time.Time, plan DrainPlan) <-chan time.Duration {
	drained := make(chan time.Duration, 1)
	go func() {
		s.Drain(plan)
		drained <- time.Since(start)
	}()
	return drained
}

// Drain waits for lingering clients, and Close for the client that was accepted last: neither is
// cut off while it still sends.
func TestDrainWaitsForLingeringClients(t *testing.T) {
	for name, withSession := range map[string]bool{"alone": false, "with an established session": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testDrainWaitsForLingeringClients(t, withSession) })
		})
	}
}

func testDrainWaitsForLingeringClients(t *testing.T, withSession bool) {
	dispatcher := newHoldingDispatcher()
	s := New(dispatcher, nil, Limits{Sockets: 64})
	listener := make(fakeListener)
	stopServing := serve(t, s, listener)
	var endSession func()
	if withSession {
		endSession = establishOnPipes(dispatcher, listener)
	}
	time.Sleep(time.Second)
	idle := listener.connectPipe("")
	start := time.Now()
	drained := startDrain(s, start, DrainPlan{
		RejectAt:    start,
		MoveStartAt: start.Add(time.Second),
		MoveEndAt:   start.Add(2 * time.Second),
		EndAt:       start.Add(2400 * time.Millisecond),
	})
	if withSession {
		go endSession()
	}
	text, err := bufio.NewReader(idle).ReadString('\n')
	answeredAfter := time.Since(start)
	if text != "BUSY\r\n" || answeredAfter > 2*time.Second {
		t.Errorf("the idle client read %q, %v after %v", text, err, answeredAfter)
	}
	// Without a session the client is answered when no more clients arrive, otherwise when its
	// first-line timeout has passed.
	if !withSession && (answeredAfter < arrivalWindow || answeredAfter > arrivalWindow+2*drainInterval) {
		t.Errorf("the idle client was answered after %v, want about %v", answeredAfter, arrivalWindow)
	}
	if sent := writeUntilClosed(idle); sent < lingerTimeout {
		t.Errorf("the idle client was cut off %v after its answer", sent)
	}
	idle.Close()
	if took := <-drained; took > 2400*time.Millisecond {
		t.Errorf("the drain took %v", took)
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
		t.Errorf("the client that was accepted last read %q, %v", text, err)
	}
	last.Close()
	<-closed
}

// establishOnPipes establishes a session. The returned function waits until its client is migrated,
// and closes both connections.
func establishOnPipes(dispatcher *holdingDispatcher, listener fakeListener) (end func()) {
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

// writeUntilClosed sends requests until the peer closes the connection, and returns how long that
// took.
func writeUntilClosed(conn net.Conn) time.Duration {
	start := time.Now()
	for {
		if _, err := fmt.Fprint(conn, "OPEN late k c=feed,d=900\r\n"); err != nil {
			return time.Since(start)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// A session that is given up between its admission and its submission gets one answer, and the
// dispatcher, which has the session by then, is notified that it has ended. If it were notified
// before, it would place the session.
func TestGiveUpDuringSubmit(t *testing.T) {
	dispatcher := newHoldingDispatcher()
	dispatcher.release = make(chan struct{})
	s := New(dispatcher, nil, Limits{Sockets: 64})
	listener, stop := serveAll(t, s)
	client := listener.connect(t, "OPEN a k c=feed,d=40000\r\n")
	<-dispatcher.submitted
	now := time.Now()
	end := now.Add(finalAnswerTime + 100*time.Millisecond)
	drained := startDrain(s, now, DrainPlan{RejectAt: now, MoveStartAt: now, MoveEndAt: now, EndAt: end})
	for { // until new clients are rejected before their first line is read
		newClient := listener.connect(t, "")
		if err := newClient.SetReadDeadline(time.Now().Add(50 * time.Millisecond)); err != nil {
			t.Fatal(err)
		}
		if text, _ := bufio.NewReader(newClient).ReadString('\n'); strings.HasPrefix(text, "BUSY") {
			break
		}
		newClient.Close()
	}
	close(dispatcher.release)
	if text := readAll(t, client); text != "ERR\r\n" {
		t.Errorf("the client read %q", text)
	}
	client.Close()
	<-drained
	stop()
	if first, second := <-dispatcher.events, <-dispatcher.events; first != "submitted a" ||
		second != "gone a" {
		t.Errorf("the dispatcher was notified of %q, then %q", first, second)
	}
}
