package proxy_test

// The one final answer, and clients that leave before it.

import (
	"strings"
	"testing"
	"time"
)

// There is one final answer, whoever is first.
func TestFirstFinalAnswerWins(t *testing.T) {
	b := startSession(t)
	if !b.session.Reject(250*time.Millisecond) || b.session.Fail() || b.session.Establish("UP r1", "s1", b.upstreamConn) {
		t.Error("not exactly the first answer was taken")
	}
	b.expectLine(t, b.clientReader, "BUSY 250\r\n")
	b.expectLine(t, b.clientReader, "")
	if b.session.Context().Err() == nil {
		t.Error("an attempt would go on after the answer")
	}
}

// A client that leaves while it waits ends its attempt, and no answer is taken. Lines that
// it sent too early don't hide it.
func TestClientGoneBeforeAnswerCancelsAttempts(t *testing.T) {
	b := startSession(t)
	write(t, b.client, "too early\r\n")
	b.client.Close()
	receive(t, b.gone)
	b.expectSettled(t)
	receive(t, b.finished)
}

// A client that sends more before UP than a buffer holds is answered at once: it costs no
// more memory, and its end can't hide behind what it sent.
func TestTooMuchDataBeforeUpIsAnsweredAtOnce(t *testing.T) {
	b := startSession(t)
	write(t, b.client, strings.Repeat("OPEN a k c=feed,d=1000\r\n", 500))
	b.expectLine(t, b.clientReader, "ERR\r\n")
	receive(t, b.gone)
	b.expectSettled(t)
	receive(t, b.finished)
}

// A session that is given up is answered with a failure, once, and is forgotten.
func TestGiveUp(t *testing.T) {
	b := startSession(t)
	b.session.GiveUp()
	b.expectLine(t, b.clientReader, "ERR\r\n")
	receive(t, b.gone)
	b.expectSettled(t)
	b.session.GiveUp() // a second notification would close the observer's channel twice
	b.expectLine(t, b.clientReader, "")
	receive(t, b.finished)
}

// Giving up an established session changes nothing.
func TestGiveUpOfAnEstablishedSession(t *testing.T) {
	b := startSession(t)
	b.establish(t)
	b.session.GiveUp()
	write(t, b.upstream, "yes\r\n")
	b.expectLine(t, b.clientReader, "yes\r\n")
	b.closeClient(t)
}
