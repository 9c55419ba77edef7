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
	restartClientGap  = time.Millisecond       // between two clients around a restart
	beforeTermination = 100 * time.Millisecond // that they come
	afterTermination  = 400 * time.Millisecond // that the front still sends them
	aroundStart       = 300 * time.Millisecond // that they come while the next process starts
)

// clientsAround has clients come to addr one after the other for a time, every other one with its request in two
// pieces. It returns a function that waits for their answers, by id; one that could not connect has none.
func clientsAround(addr, prefix string, span time.Duration) (answers func() map[string]string) {
	var clients sync.WaitGroup
	var mu sync.Mutex
	got := map[string]string{}
	ticker := time.NewTicker(restartClientGap)
	defer ticker.Stop()
	for i := range int(span / restartClientGap) {
		<-ticker.C
		id := fmt.Sprint(prefix, i)
		clients.Go(func() {
			if answer, connected := askOnce(addr, id, i%2 == 1); connected {
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

// askOnce has one client connect and ask. It reports the first line of the answer, or what came in its place.
func askOnce(addr, id string, inPieces bool) (answer string, connected bool) {
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
		time.Sleep(restartClientGap) // a slow writer
	}
	fmt.Fprint(conn, request)
	text, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		return fmt.Sprintf("%q, %v", text, err), true
	}
	return strings.TrimSpace(text), true
}

// A process ends and the next one starts at its address, while a client comes each millisecond: whoever could connect
// has an answer, and no reset.
func TestClientsAroundARestartAreAnswered(t *testing.T) {
	p, addr, path, _ := startServingNode(t, 4096)
	before := clientsAround(addr, "a", beforeTermination)
	p.signal(syscall.SIGTERM)
	after := clientsAround(addr, "b", afterTermination)
	answered := before()
	for id, answer := range after() {
		answered[id] = answer
	}
	p.expectExit()
	next := startProcess(t, path, t.TempDir(), nil)
	for id, answer := range clientsAround(addr, "c", aroundStart)() {
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
	if least := int((beforeTermination + afterTermination) / restartClientGap); len(answered) < least || served == 0 {
		t.Errorf("%d could connect, want %d; %d were served", len(answered), least, served)
	}
}
