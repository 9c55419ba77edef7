package proxy_test

// Tests of the one final answer, and of clients that disconnect before it.

import (
	"strings"
	"testing"
	"time"
)

// A session has one final answer, the first that is given.
func TestFirstFinalAnswerWins(t *testing.T) {
	f := startSession(t)
	if !f.session.Reject(250*time.Millisecond) || f.session.Fail() ||
		f.session.Establish("UP r1", "s1", f.upstreamConn) {
		t.Error("the session did not accept exactly the first answer")
	}
	f.expectLine(t, f.clientReader, "BUSY 250\r\n")
	f.expectLine(t, f.clientReader, "")
	if f.session.Context().Err() == nil {
		t.Error("the context of the attempts is not cancelled after the answer")
	}
}

// A client that disconnects while it waits cancels its attempt, and no answer is accepted. Lines
// that it sent too early do not hide the disconnect.
func TestClientGoneBeforeAnswerCancelsAttempts(t *testing.T) {
	f := startSession(t)
	write(t, f.client, "too early\r\n")
	f.client.Close()
	receive(t, f.gone)
	f.expectSettled(t)
	receive(t, f.finished)
}

// A client that sends more before UP than a buffer holds is answered at once: it uses no more
// memory, and its disconnect cannot be hidden by what it has sent.
func TestTooMuchDataBeforeUpIsAnsweredAtOnce(t *testing.T) {
	f := startSession(t)
	write(t, f.client, strings.Repeat("OPEN a k c=feed,d=1000\r\n", 500))
	f.expectLine(t, f.clientReader, "ERR\r\n")
	receive(t, f.gone)
	f.expectSettled(t)
	receive(t, f.finished)
}

// A session that is given up is failed once, and its observer is notified.
func TestGiveUp(t *testing.T) {
	f := startSession(t)
	f.session.GiveUp()
	f.expectLine(t, f.clientReader, "ERR\r\n")
	receive(t, f.gone)
	f.expectSettled(t)
	f.session.GiveUp() // a second notification would close the observer's channel twice
	f.expectLine(t, f.clientReader, "")
	receive(t, f.finished)
}

// GiveUp does nothing to an established session.
func TestGiveUpOfEstablishedSessionDoesNothing(t *testing.T) {
	f := startSession(t)
	f.establish(t)
	f.session.GiveUp()
	write(t, f.upstream, "yes\r\n")
	f.expectLine(t, f.clientReader, "yes\r\n")
	f.closeClient(t)
}
