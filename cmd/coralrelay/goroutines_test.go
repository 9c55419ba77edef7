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

// nodeFunctions are prefixes of the names of functions that run in a node's goroutines or start them: those
// of its packages, of serve and its stages, and of the components that the stages start.
var nodeFunctions = []string{
	"internal/downstream.", "internal/proxy.", "internal/dispatch.", "internal/discovery.", "internal/admin.",
	"cmd/coralrelay.serve", "cmd/coralrelay.(*node).", "cmd/coralrelay.(*siblingMonitor).",
	"cmd/coralrelay.startUDP", "cmd/coralrelay.startTokenResumption", "cmd/coralrelay.startAdmin",
	"cmd/coralrelay.startAgentClient",
}

// goroutines returns the stacks of all goroutines, keyed by the goroutine's number as a stack trace has it.
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

// belongsToNode reports whether a goroutine runs one of the nodeFunctions or was created by one. It
// ignores the goroutines of context.AfterFunc, which only close something: serve does not wait for them
// to end.
func belongsToNode(stack string) bool {
	if strings.Contains(stack, "\ncreated by context.") {
		return false
	}
	for _, line := range strings.Split(stack, "\n") {
		function, isOurs := strings.CutPrefix(strings.TrimPrefix(line, "created by "), "coralrelay/")
		if !isOurs {
			continue
		}
		for _, served := range nodeFunctions {
			if strings.HasPrefix(function, served) {
				return true
			}
		}
	}
	return false
}

// No goroutine of a client or of a component that serve starts is left when serve returns, whatever state the
// clients and upstreams were in.
func TestNoGoroutineOutlivesServe(t *testing.T) {
	before := goroutines() // the node of an earlier test may still drain
	var firstLines atomic.Int32
	unresponsive, received := make(chan struct{}), make(chan struct{}, 64)
	addr, terminate, done := startNode(t, testsocket.Serve(t, func(conn net.Conn) {
		select {
		case <-unresponsive:
			for lines := bufio.NewScanner(conn); lines.Scan(); { // reads everything and answers nothing
				if strings.HasPrefix(lines.Text(), "OPEN") {
					received <- struct{}{}
				}
			}
		default:
			serveUpstream(&firstLines)(conn)
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
	dialClient(t, addr, "HELLO\r\n") // gets an error answer; this end stays open
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
		if _, isOld := before[number]; !isOld && belongsToNode(stack) {
			t.Errorf("goroutine still runs after serve returned:\n%s", stack)
		}
	}
}
