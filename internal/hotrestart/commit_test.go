package hotrestart

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"coralrelay/balance"
	"coralrelay/internal/proxy"
	"coralrelay/internal/testsocket"
)

// The sender migrates a session when the receiver does not reply in time. A receiver that becomes
// prepared later must abort the session, so that it is not relayed twice.
func TestSessionIsAbortedWhenReceiverIsLate(t *testing.T) {
	dir, sender, receiver := t.TempDir(), newFakeNode(t), newFakeNode(t)
	startReceiver(t, dir, receiver)
	session, client, server, finished := sender.startSession(t)
	session.HandOver(dialSender(t, dir))
	await(t, receiver.adopting)
	expectEnd(t, client, "MOVE\r\n") // the receiver is still in Adopt
	await(t, finished)
	fmt.Fprint(client, "are you there\r\n") // arrives at the receiver's copies of the sockets
	close(receiver.allowAdopt)
	expectEnd(t, server, "")
	if outcome := await(t, receiver.ended); outcome != balance.Cancelled {
		t.Errorf("the receiver ended the session as %v", outcome)
	}
}

// offer is a session that the test has offered without a Sender.Take: the connection to the
// receiver, and both connections of the session with their far ends.
type offer struct {
	conn                   *net.UnixConn
	downstreamConn, client net.Conn
	upstreamConn, server   net.Conn
}

func offerByHand(t *testing.T, dir string, session proxy.EstablishedSession) (o offer) {
	t.Helper()
	o.conn = dialSender(t, dir).conn
	_ = o.conn.SetDeadline(time.Now().Add(testTimeout))
	o.downstreamConn, o.client = testsocket.Pair(t)
	o.upstreamConn, o.server = testsocket.Pair(t)
	message, err := json.Marshal(session)
	if err != nil {
		t.Fatal(err)
	}
	rights := unix.UnixRights(descriptorOf(t, o.downstreamConn), descriptorOf(t, o.upstreamConn))
	if _, _, err := o.conn.WriteMsgUnix(message, rights, nil); err != nil {
		t.Fatal(err)
	}
	return o
}

// Until the commit an offered session belongs to the sender, even if data arrives on it: the
// receiver must not read, write, shut down or reset its connections. Without a commit this
// remains so. After a commit, the receiver relays all data that has arrived meanwhile, once.
func TestPreparedSessionStaysSendersUntilCommit(t *testing.T) {
	for name, end := range map[string]func(conn *net.UnixConn) (committed bool){
		"committed": func(conn *net.UnixConn) bool {
			_, err := conn.Write([]byte(commitMessage))
			return err == nil
		},
		"sender dies": func(conn *net.UnixConn) bool {
			_ = conn.Close()
			return false
		},
		"sender stalls": func(conn *net.UnixConn) bool {
			_, _ = conn.Read(make([]byte, 9)) // until the receiver gives up
			return false
		},
		"another offer": func(conn *net.UnixConn) bool {
			_, _ = conn.Write([]byte(`{"ID":"b"}`))
			return false
		},
	} {
		t.Run(name, func(t *testing.T) {
			dir, receiver := t.TempDir(), newFakeNode(t)
			startReceiver(t, dir, receiver)
			close(receiver.allowAdopt)
			o := offerByHand(t, dir, proxy.EstablishedSession{Server: "s1",
				FromClient: []byte("are"), FromUpstream: []byte("LOA")})
			await(t, receiver.adopting)
			expectRead(t, o.conn, replyPrepared)
			fmt.Fprint(o.client, " you there\r\n")
			fmt.Fprint(o.server, "D 7\r\n")
			for _, c := range []net.Conn{o.downstreamConn, o.upstreamConn, o.client, o.server} {
				_ = c.SetDeadline(time.Now().Add(testTimeout))
			}
			if end(o.conn) {
				o.downstreamConn.Close()
				o.upstreamConn.Close()
				expectRead(t, o.server, "are you there\r\n")
				expectRead(t, o.client, "LOAD 7\r\n")
				fmt.Fprint(o.server, "yes\r\nBYE\r\n")
				o.server.Close()
				expectEnd(t, o.client, "yes\r\nBYE\r\n")
				if outcome := await(t, receiver.ended); outcome != balance.OK {
					t.Errorf("the session ended as %v", outcome)
				}
				return
			}
			if outcome := await(t, receiver.ended); outcome != balance.Cancelled {
				t.Errorf("the receiver ended the session as %v", outcome)
			}
			expectRead(t, o.downstreamConn, " you there\r\n")
			expectRead(t, o.upstreamConn, "D 7\r\n")
			expectConnected(t, o.downstreamConn, o.client)
			expectConnected(t, o.upstreamConn, o.server)
			if _, err := o.conn.Write([]byte(commitMessage)); err == nil {
				t.Error("a commit after the abort could be written")
			}
		})
	}
}

// A receiver that ends while a session is prepared but not committed must leave the session to
// the sender.
func TestReceiverEndsWhilePrepared(t *testing.T) {
	dir, receiver := t.TempDir(), newFakeNode(t)
	stop := startReceiver(t, dir, receiver)
	close(receiver.allowAdopt)
	o := offerByHand(t, dir, proxy.EstablishedSession{Server: "s1"})
	await(t, receiver.adopting)
	expectRead(t, o.conn, replyPrepared)
	stop()
	await(t, receiver.ended)
	if _, err := o.conn.Write([]byte(commitMessage)); err == nil {
		t.Error("a commit to a receiver that has ended could be written")
	}
	expectConnected(t, o.downstreamConn, o.client)
	expectConnected(t, o.upstreamConn, o.server)
}

// lateCommitConn is a sender's connection on which a message arrives just as the read deadline
// expires: the first Read writes the message and returns a timeout.
type lateCommitConn struct {
	*net.UnixConn
	sender  net.Conn
	reads   int
	message string
}

func (l *lateCommitConn) Read(b []byte) (int, error) {
	if l.reads++; l.reads > 1 {
		return l.UnixConn.Read(b)
	}
	if _, err := l.sender.Write([]byte(l.message)); err != nil {
		return 0, err
	}
	return 0, os.ErrDeadlineExceeded
}

// Sender and receiver must agree on a commit that is sent as the receiver times out: if the
// sender could write it, the receiver commits; after the receiver aborts, the write fails.
func TestCommitAtDeadlineIsDecidedOnce(t *testing.T) {
	for _, message := range []string{commitMessage, "commi", ""} {
		listener := listenAt(t, filepath.Join(t.TempDir(), "s"))
		sender, err := net.DialUnix(network, nil, listener.Addr().(*net.UnixAddr))
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = sender.Close() }()
		conn, err := listener.AcceptUnix()
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		late := &lateCommitConn{UnixConn: conn, sender: sender, message: message}
		if got := awaitCommit(late); got != (message == commitMessage) {
			t.Errorf("after the message %q awaitCommit returned %v", message, got)
		}
		if _, err := sender.Write([]byte(commitMessage)); err == nil {
			t.Error("a commit could be written after the decision")
		}
	}
}

// If the receiver dies between its reply and the commit, the session stays with the sender,
// which migrates it.
func TestSessionStaysWhenReceiverDiesPrepared(t *testing.T) {
	dir, sender := t.TempDir(), newFakeNode(t)
	listener := listenAt(t, socketPath(dir))
	go func() {
		conn, err := listener.AcceptUnix()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		controlMessage := make([]byte, 64)
		_, n, _, _, _ := conn.ReadMsgUnix(make([]byte, maxMessageBytes), controlMessage)
		conns, _ := parseConnections(controlMessage[:n])
		for _, c := range conns {
			defer c.Close()
		}
		_ = conn.CloseRead() // as the death of the receiver does, but certainly before the commit
		_, _ = conn.Write([]byte(replyPrepared))
	}()
	session, client, server, finished := sender.startSession(t)
	session.HandOver(dialSender(t, dir))
	expectEnd(t, client, "MOVE\r\n")
	expectEnd(t, server, "")
	await(t, finished)
	if outcome := await(t, sender.ended); outcome != balance.Cancelled {
		t.Errorf("the session ended as %v", outcome)
	}
}
