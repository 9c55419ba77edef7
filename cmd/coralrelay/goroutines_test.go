package main

import (
	"bufio"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"

	"coralrelay/internal/testsocket"
)

// servedFunctions are prefixes of the functions that run in goroutines of a node, or start them:
// those of its packages, of serve and its stages, and of the parts that the stages start.
var servedFunctions = []string{
	"internal/downstream.", "internal/proxy.", "internal/dispatch.", "internal/discovery.", "internal/admin.",
	"cmd/coralrelay.serve", "cmd/coralrelay.(*node).", "cmd/coralrelay.(*siblingMonitor).",
	"cmd/coralrelay.startUDP", "cmd/coralrelay.startTokenResumption", "cmd/coralrelay.startAdmin",
	"cmd/coralrelay.startAgentClient",
}

// goroutines returns the stacks of all goroutines by the number that each begins with.
func goroutines() map[string]string {
	all := make([]byte, 1<<20)
	all = all[:runtime.Stack(all, true)]
	stacks := map[string]string{}
	for _, stack := range strings.Split(string(all), "\n\n") {
		number, _, _ := strings.Cut(stack, " [")
		stacks[number] = stack
	}
	return stacks
}

// isServed reports whether a goroutine runs one of the servedFunctions or was created by one. It
// passes over those of context.AfterFunc, which only close something: nobody waits for their last
// instructions.
func isServed(stack string) bool {
	if strings.Contains(stack, "\ncreated by context.") {
		return false
	}
	for _, line := range strings.Split(stack, "\n") {
		function, isOurs := strings.CutPrefix(strings.TrimPrefix(line, "created by "), "coralrelay/")
		if !isOurs {
			continue
		}
		for _, served := range servedFunctions {
			if strings.HasPrefix(function, served) {
				return true
			}
		}
	}
	return false
}

// No goroutine of the clients' side or of a part that serve starts outlives its end, whatever
// clients and upstreams were doing.
func TestNoGoroutineOutlivesServe(t *testing.T) {
	before := goroutines() // an earlier test's node may still drain
	var got atomic.Int32
	unresponsive, received := make(chan struct{}), make(chan struct{}, 64)
	addr, terminate, done := startNode(t, testsocket.Serve(t, func(conn net.Conn) {
		select {
		case <-unresponsive:
			for lines := bufio.NewScanner(conn); lines.Scan(); { // takes all and answers nothing
				if strings.HasPrefix(lines.Text(), "OPEN") {
					received <- struct{}{}
				}
			}
		default:
			serveUpstream(&got)(conn)
		}
	}), 1024)
	session := dialClient(t, addr, openLine("a"))
	if s := session.readLine(); s != "UP r1" {
		t.Fatal(s)
	}
	close(unresponsive)
	clients := []*client{
		session,
		dialClient(t, addr, ""),
		dialClient(t, addr, "OPEN b k1 c=fe"),
		dialClient(t, addr, "OPEN c k1 c=feed,d=40000,at=s1\r\n"),
	}
	<-received
	dialClient(t, addr, "HELLO\r\n") // is read to its end, and stays
	terminate()
	for i, want := range []string{"MOVE\r\n", "BUSY 500\r\n", "BUSY 500\r\n", "ERR\r\n"} {
		if s := clients[i].readToEnd(); s != want {
			t.Errorf("client %d: %q, want %q", i, s, want)
		}
		clients[i].Close()
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
	for number, stack := range goroutines() {
		if _, isOld := before[number]; !isOld && isServed(stack) {
			t.Errorf("still there:\n%s", stack)
		}
	}
}
