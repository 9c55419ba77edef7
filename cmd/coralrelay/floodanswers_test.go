package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	floodClients         = 8
	normalClients        = 60
	normalClientInterval = 100 * time.Millisecond  // between two normal clients
	normalClientDeadline = 1200 * time.Millisecond // the deadline in openLine
	answerTimeout        = normalClientDeadline + 500*time.Millisecond
)

// floodAnswer is the outcome of one normal client's request during a flood.
type floodAnswer struct {
	connected bool
	answer    string
	took      time.Duration // from the write of the request to the answer
}

// requestDuringFlood sends one normal client's request and waits for the answer, for at most answerTimeout.
func requestDuringFlood(addr, id string) (a floodAnswer) {
	conn, err := net.DialTimeout("tcp", addr, 5*time.Second)
	if err != nil {
		return a // the machine accepted no connection
	}
	defer conn.Close()
	a.connected = true
	fmt.Fprint(conn, openLine(id))
	start := time.Now()
	_ = conn.SetReadDeadline(start.Add(answerTimeout))
	text, err := bufio.NewReader(conn).ReadString('\n')
	a.answer, a.took = strings.TrimSpace(text), time.Since(start)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		a.answer = err.Error()
	}
	return a
}

// A normal client is answered in time while other clients connect as fast as they can. A request counts
// as accepted when its last byte is written to a connection that the machine has accepted, and as lost if
// it is not answered within half a second after its deadline.
func TestAnswersInTimeDuringFlood(t *testing.T) {
	p, addr, _ := startLimitedNode(t, 60, 160)
	stopped := make(chan struct{})
	var flood sync.WaitGroup
	for n := range floodClients {
		flood.Go(func() { floodConnections(addr, n, stopped) })
	}
	time.Sleep(time.Second) // until the flood uses all sockets that it can get
	answers := make([]floodAnswer, normalClients)
	var clients sync.WaitGroup
	for i := range answers {
		clients.Go(func() { answers[i] = requestDuringFlood(addr, fmt.Sprint("usual", i)) })
		time.Sleep(normalClientInterval)
	}
	clients.Wait()
	close(stopped)
	flood.Wait()
	var took []time.Duration
	for i, a := range answers {
		if !a.connected {
			continue
		}
		took = append(took, a.took)
		if !strings.HasPrefix(a.answer, "UP ") && !strings.HasPrefix(a.answer, "BUSY") {
			t.Errorf("client %d: %q after %v", i, a.answer, a.took)
		}
	}
	slices.Sort(took)
	if len(took) < normalClients/2 {
		t.Fatalf("only %d of %d clients could connect", len(took), normalClients)
	}
	t.Logf("%d clients: median answer after %v, last %v", len(took), took[len(took)/2], took[len(took)-1])
	expectServed(t, addr)
	p.signal(syscall.SIGKILL)
	_ = p.awaitExit(testTimeout)
}
