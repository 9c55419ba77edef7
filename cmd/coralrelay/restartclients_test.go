package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	clientInterval    = time.Millisecond       // between two clients
	beforeTermination = 100 * time.Millisecond // clients connect for this long before SIGTERM
	afterTermination  = 400 * time.Millisecond // the front still sends clients for this long after SIGTERM
	duringStart       = 300 * time.Millisecond // clients connect for this long during the next start
)

// startClients starts clients one after another for the given span. Every other one sends its request in two
// pieces. It returns a function that waits for the answers and returns them by id; a client that could not
// connect has none.
func startClients(addr, prefix string, span time.Duration) (answers func() map[string]string) {
	var clients sync.WaitGroup
	var mu sync.Mutex
	got := map[string]string{}
	ticker := time.NewTicker(clientInterval)
	defer ticker.Stop()
	for i := range int(span / clientInterval) {
		<-ticker.C
		id := fmt.Sprint(prefix, i)
		clients.Go(func() {
			if answer, connected := requestOnce(addr, id, i%2 == 1); connected {
				mu.Lock()
				defer mu.Unlock()
				got[id] = answer
			}
		})
	}
	return func() map[string]string {
		clients.Wait()
		return got
	}
}

// requestOnce connects and sends one request. It returns the first line of the answer, or a description
// of the error.
func requestOnce(addr, id string, inPieces bool) (answer string, connected bool) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return "", false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	request := openLine(id)
	if inPieces {
		fmt.Fprint(conn, request[:len(request)/2])
		request = request[len(request)/2:]
		time.Sleep(clientInterval) // simulates a slow client
	}
	fmt.Fprint(conn, request)
	text, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		return fmt.Sprintf("%q, %v", text, err), true
	}
	return strings.TrimSpace(text), true
}

// A process ends and the next one starts at the same address while a client connects each millisecond.
// Every client that could connect gets an answer and no reset.
func TestAnswersClientsDuringRestart(t *testing.T) {
	p, addr, path, _ := startServingNode(t, 4096)
	before := startClients(addr, "a", beforeTermination)
	p.signal(syscall.SIGTERM)
	after := startClients(addr, "b", afterTermination)
	answered := before()
	for id, answer := range after() {
		answered[id] = answer
	}
	p.expectExit()
	next := startProcess(t, path, t.TempDir(), nil)
	for id, answer := range startClients(addr, "c", duringStart)() {
		answered[id] = answer
	}
	next.untilAnswer("PING", "200")
	served := 0
	for id, answer := range answered {
		if answer != "UP r1" && !strings.HasPrefix(answer, "BUSY") {
			t.Errorf("%s: %s", id, answer)
		}
		if answer == "UP r1" {
			served++
		}
	}
	if least := int((beforeTermination + afterTermination) / clientInterval); len(answered) < least || served == 0 {
		t.Errorf("%d clients could connect, want at least %d; %d were served", len(answered), least, served)
	}
}
