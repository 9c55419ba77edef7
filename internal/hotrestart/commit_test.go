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

// A receiver that is prepared only after its sender has given up has nothing: a session that
// was migrated is not relayed by it as well.
func TestSessionIsAbortedWhenReceiverIsLate(t *testing.T) {
	dir, sender, receiver := t.TempDir(), newFakeNode(t), newFakeNode(t)
	startReceiver(t, dir, receiver)
	session, client, server, finished := sender.startSession(t)
	session.HandOver(dialSender(t, dir))
	await(t, receiver.adopting)
	expectEnd(t, client, "MOVE\r\n") // while the receiver adopts it
	await(t, finished)
	fmt.Fprint(client, "are you there\r\n") // at the sockets that the receiver still holds
	close(receiver.allowAdopt)
	expectEnd(t, server, "")
	if outcome := await(t, receiver.ended); outcome != balance.Cancelled {
		t.Errorf("at the receiver it ended as %v", outcome)
	}
}

// offer is what a sender has offered by hand: its connection to the receiver, and both
// connections of the session with their far ends.
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

// Until the commit an offered session is the sender's, whatever arrives on it, and stays so
// where no commit comes: nothing is read, written, shut down or reset by the receiver. After
// it, all that arrived meanwhile is there, once.
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
					t.Errorf("it ended as %v", outcome)
				}
				return
			}
			if outcome := await(t, receiver.ended); outcome != balance.Cancelled {
				t.Errorf("at the receiver it ended as %v", outcome)
			}
			expectRead(t, o.downstreamConn, " you there\r\n")
			expectRead(t, o.upstreamConn, "D 7\r\n")
			expectConnected(t, o.downstreamConn, o.client)
			expectConnected(t, o.upstreamConn, o.server)
			if _, err := o.conn.Write([]byte(commitMessage)); err == nil {
				t.Error("a commit that comes too late seems to have come")
			}
		})
	}
}

// A receiver that ends while a session is prepared keeps only what was committed.
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
		t.Error("a commit to a receiver that has ended seems to have come")
	}
	expectConnected(t, o.downstreamConn, o.client)
	expectConnected(t, o.upstreamConn, o.server)
}

// lateCommitConn is a sender's connection on which the commit arrives just as the wait for it
// ends.
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

// Sender and receiver never differ on a commit: one that was written counts, and one that
// does not count can't be written.
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
			t.Errorf("%q was taken for a commit: %v", message, got)
		}
		if _, err := sender.Write([]byte(commitMessage)); err == nil {
			t.Error("a commit could be written later")
		}
	}
}

// A receiver that dies between its reply and the commit leaves the session with its sender,
// where it is migrated.
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
		_ = conn.CloseRead() // as its death does, but for sure before the sender's commit
		_, _ = conn.Write([]byte(replyPrepared))
	}()
	session, client, server, finished := sender.startSession(t)
	session.HandOver(dialSender(t, dir))
	expectEnd(t, client, "MOVE\r\n")
	expectEnd(t, server, "")
	await(t, finished)
	if outcome := await(t, sender.ended); outcome != balance.Cancelled {
		t.Errorf("it ended as %v", outcome)
	}
}
