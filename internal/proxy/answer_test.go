package proxy_test

// The one final answer, and callers that leave before it.

import (
	"strings"
	"testing"
	"time"
)

// There is one final answer, whoever is first.
func TestOneFinalAnswer(t *testing.T) {
	b := start(t)
	if !b.t.Reject(250*time.Millisecond) || b.t.Fail() || b.t.Establish("UP r1", "s1", b.hopLeg) {
		t.Error("not exactly the first answer was taken")
	}
	b.expect(t, b.fromNode, "BUSY 250\r\n")
	b.expect(t, b.fromNode, "")
	if b.t.Context().Err() == nil {
		t.Error("a branch would go on after the answer")
	}
}

// A caller that leaves while it waits ends its branch, and no answer is taken.
// Lines that it sent too early don't hide it.
func TestCallerGoneWhileWaiting(t *testing.T) {
	b := start(t)
	say(t, b.caller, "too early\r\n")
	b.caller.Close()
	wait(t, b.gone)
	wait(t, b.t.Context().Done())
	if b.t.Establish("UP r1", "s1", b.hopLeg) {
		t.Error("an UP was taken for a caller that has left")
	}
	wait(t, b.finished)
}

// A caller that sends more before UP than a buffer holds is answered at once: it
// costs no more memory, and its end can't hide behind what it sent.
func TestTooMuchBeforeUp(t *testing.T) {
	b := start(t)
	say(t, b.caller, strings.Repeat("OPEN a k c=feed,d=1000\r\n", 500))
	b.expect(t, b.fromNode, "ERR\r\n")
	wait(t, b.gone)
	wait(t, b.t.Context().Done())
	if b.t.Establish("UP r1", "s1", b.hopLeg) {
		t.Error("an UP was taken for a caller that was turned away")
	}
	wait(t, b.finished)
}
