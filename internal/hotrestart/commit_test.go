package hotrestart

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"coralrelay/balance"
	"coralrelay/internal/proxy"
)

const testTimeout = 10 * time.Second // no test waits this long unless it fails

// node is a process at either end: it serves what stands, and each end comes on ended.
type fakeNode struct {
	ended      chan balance.Outcome
	adopting   chan struct{} // each adoption is told here, and then waits for may
	allowAdopt chan struct{}
	sessions   sync.WaitGroup
}

// A taker that is ready only after its giver has given up has nothing: what was moved is
// not relayed by it as well.
func TestSessionIsAbortedWhenReceiverIsLate(t *testing.T) {
	dir, sender, receiver := t.TempDir(), newFakeNode(t), newFakeNode(t)
	startReceiver(t, dir, receiver)
	session, client, server, finished := sender.startSession(t)
	session.HandOver(dialSender(t, dir))
	await(t, receiver.adopting)
	expectEnd(t, client, "MOVE\r\n") // while the taker is at it
	await(t, finished)
	fmt.Fprint(client, "are you there\r\n") // at the sockets that the taker still holds
	close(receiver.allowAdopt)
	expectEnd(t, server, "")
	if outcome := await(t, receiver.ended); outcome != balance.Cancelled {
		t.Errorf("at the taker it ended as %v", outcome)
	}
}

// offered is what a giver offers by hand, and where it does.
func offerByHand(t *testing.T, dir string, session proxy.EstablishedSession) (conn *net.UnixConn, downstreamConn, client, upstreamConn, server net.Conn) {
	t.Helper()
	conn = dialSender(t, dir).conn
	conn.SetDeadline(time.Now().Add(testTimeout))
	downstreamConn, client = connectedPair(t)
	upstreamConn, server = connectedPair(t)
	message, err := json.Marshal(session)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := conn.WriteMsgUnix(message, unix.UnixRights(descriptorOf(t, downstreamConn), descriptorOf(t, upstreamConn)), nil); err != nil {
		t.Fatal(err)
	}
	return conn, downstreamConn, client, upstreamConn, server
}

// Until the commit what is offered is the giver's, whatever comes on it, and stays so
// where no commit comes: nothing is read, written, shut down or reset by the taker. After
// it, all that came meanwhile is there, once.
func TestPreparedSessionStaysSendersUntilCommit(t *testing.T) {
	for name, end := range map[string]func(conn *net.UnixConn) (committed bool){
		"committed":     func(conn *net.UnixConn) bool { _, err := conn.Write([]byte(commitMessage)); return err == nil },
		"giver dies":    func(conn *net.UnixConn) bool { conn.Close(); return false },
		"giver stalls":  func(conn *net.UnixConn) bool { _, _ = conn.Read(make([]byte, 9)); return false }, // until the taker gives up
		"another offer": func(conn *net.UnixConn) bool { _, _ = conn.Write([]byte(`{"ID":"b"}`)); return false },
	} {
		t.Run(name, func(t *testing.T) {
			dir, receiver := t.TempDir(), newFakeNode(t)
			startReceiver(t, dir, receiver)
			close(receiver.allowAdopt)
			conn, downstreamConn, client, upstreamConn, server := offerByHand(t, dir, proxy.EstablishedSession{Server: "s1",
				FromClient: []byte("are"), FromUpstream: []byte("LOA")})
			await(t, receiver.adopting)
			expectRead(t, conn, replyPrepared)
			fmt.Fprint(client, " you there\r\n")
			fmt.Fprint(server, "D 7\r\n")
			for _, c := range []net.Conn{downstreamConn, upstreamConn, client, server} {
				c.SetDeadline(time.Now().Add(testTimeout))
			}
			if end(conn) {
				downstreamConn.Close()
				upstreamConn.Close()
				expectRead(t, server, "are you there\r\n")
				expectRead(t, client, "LOAD 7\r\n")
				fmt.Fprint(server, "yes\r\nBYE\r\n")
				server.Close()
				expectEnd(t, client, "yes\r\nBYE\r\n")
				if outcome := await(t, receiver.ended); outcome != balance.OK {
					t.Errorf("it ended as %v", outcome)
				}
				return
			}
			if outcome := await(t, receiver.ended); outcome != balance.Cancelled {
				t.Errorf("at the taker it ended as %v", outcome)
			}
			expectRead(t, downstreamConn, " you there\r\n")
			expectRead(t, upstreamConn, "D 7\r\n")
			expectConnected(t, downstreamConn, client)
			expectConnected(t, upstreamConn, server)
			if _, err := conn.Write([]byte(commitMessage)); err == nil {
				t.Error("a commit that comes too late seems to have come")
			}
		})
	}
}

// A taker that ends while something is prepared takes what was committed, and nothing else.
func TestReceiverEndsWhilePrepared(t *testing.T) {
	dir, receiver := t.TempDir(), newFakeNode(t)
	stop := startReceiver(t, dir, receiver)
	close(receiver.allowAdopt)
	conn, downstreamConn, client, upstreamConn, server := offerByHand(t, dir, proxy.EstablishedSession{Server: "s1"})
	await(t, receiver.adopting)
	expectRead(t, conn, replyPrepared)
	stop()
	await(t, receiver.ended)
	if _, err := conn.Write([]byte(commitMessage)); err == nil {
		t.Error("a commit to a taker that has ended seems to have come")
	}
	expectConnected(t, downstreamConn, client)
	expectConnected(t, upstreamConn, server)
}

// late is a giver's connection on which the commit arrives just as the wait for it ends.
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

// Whether a giver has let go is never two things: a commit that was written counts, and
// one that does not count can't be written.
func TestCommitAtDeadlineIsDecidedOnce(t *testing.T) {
	for _, message := range []string{commitMessage, "commi", ""} {
		listener, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: filepath.Join(t.TempDir(), "s"), Net: "unixpacket"})
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		sender, err := net.DialUnix("unixpacket", nil, listener.Addr().(*net.UnixAddr))
		if err != nil {
			t.Fatal(err)
		}
		defer sender.Close()
		conn, err := listener.AcceptUnix()
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if got := awaitCommit(&lateCommitConn{UnixConn: conn, sender: sender, message: message}); got != (message == commitMessage) {
			t.Errorf("%q was taken for a commit: %v", message, got)
		}
		if _, err := sender.Write([]byte(commitMessage)); err == nil {
			t.Error("a commit could be written later")
		}
	}
}

// A taker that ends between its word and the commit leaves what was offered here, where
// it is moved.
func TestSessionStaysWhenReceiverDiesPrepared(t *testing.T) {
	dir, sender := t.TempDir(), newFakeNode(t)
	listener, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: filepath.Join(dir, socketPrefix+"node.1"), Net: "unixpacket"})
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		conn, err := listener.AcceptUnix()
		if err != nil {
			return
		}
		defer conn.Close()
		controlMessage := make([]byte, 64)
		_, n, _, _, _ := conn.ReadMsgUnix(make([]byte, maxMessageBytes), controlMessage)
		conns, _ := parseConnections(controlMessage[:n])
		for _, c := range conns {
			defer c.Close()
		}
		_ = conn.CloseRead() // as its death does, but for sure before the giver's next word
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
