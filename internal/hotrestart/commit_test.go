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

const patience = 10 * time.Second // no test waits this long unless it fails

// node is a process at either end: it serves what stands, and each end comes on ended.
type node struct {
	ended chan balance.Outcome
	asked chan struct{} // each adoption is told here, and then waits for may
	may   chan struct{}
	runs  sync.WaitGroup
}

// A taker that is ready only after its giver has given up has nothing: what was moved is
// not relayed by it as well.
func TestLateTaker(t *testing.T) {
	dir, old, next := t.TempDir(), newNode(t), newNode(t)
	serve(t, dir, next)
	x, client, feed, finished := old.stands(t)
	x.HandOver(give(t, dir))
	wait(t, next.asked)
	ends(t, client, "MOVE\r\n") // while the taker is at it
	wait(t, finished)
	fmt.Fprint(client, "are you there\r\n") // at the sockets that the taker still holds
	close(next.may)
	ends(t, feed, "")
	if o := wait(t, next.ended); o != balance.Cancelled {
		t.Errorf("at the taker it ended as %v", o)
	}
}

// offered is what a giver offers by hand, and where it does.
func offered(t *testing.T, dir string, s proxy.EstablishedSession) (conn *net.UnixConn, caller, client, hop, feed net.Conn) {
	t.Helper()
	conn = give(t, dir).conn
	conn.SetDeadline(time.Now().Add(patience))
	caller, client = pair(t)
	hop, feed = pair(t)
	text, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := conn.WriteMsgUnix(text, unix.UnixRights(number(t, caller), number(t, hop)), nil); err != nil {
		t.Fatal(err)
	}
	return conn, caller, client, hop, feed
}

// Until the commit what is offered is the giver's, whatever comes on it, and stays so
// where no commit comes: nothing is read, written, shut down or reset by the taker. After
// it, all that came meanwhile is there, once.
func TestPrepared(t *testing.T) {
	for name, end := range map[string]func(conn *net.UnixConn) (committed bool){
		"committed":     func(conn *net.UnixConn) bool { _, err := conn.Write([]byte(commit)); return err == nil },
		"giver dies":    func(conn *net.UnixConn) bool { conn.Close(); return false },
		"giver stalls":  func(conn *net.UnixConn) bool { _, _ = conn.Read(make([]byte, 9)); return false }, // until the taker gives up
		"another offer": func(conn *net.UnixConn) bool { _, _ = conn.Write([]byte(`{"ID":"b"}`)); return false },
	} {
		t.Run(name, func(t *testing.T) {
			dir, next := t.TempDir(), newNode(t)
			serve(t, dir, next)
			close(next.may)
			conn, caller, client, hop, feed := offered(t, dir, proxy.EstablishedSession{Server: "s1",
				FromClient: []byte("are"), FromUpstream: []byte("LOA")})
			wait(t, next.asked)
			reads(t, conn, prepared)
			fmt.Fprint(client, " you there\r\n")
			fmt.Fprint(feed, "D 7\r\n")
			for _, c := range []net.Conn{caller, hop, client, feed} {
				c.SetDeadline(time.Now().Add(patience))
			}
			if end(conn) {
				caller.Close()
				hop.Close()
				reads(t, feed, "are you there\r\n")
				reads(t, client, "LOAD 7\r\n")
				fmt.Fprint(feed, "yes\r\nBYE\r\n")
				feed.Close()
				ends(t, client, "yes\r\nBYE\r\n")
				if o := wait(t, next.ended); o != balance.OK {
					t.Errorf("it ended as %v", o)
				}
				return
			}
			if o := wait(t, next.ended); o != balance.Cancelled {
				t.Errorf("at the taker it ended as %v", o)
			}
			reads(t, caller, " you there\r\n")
			reads(t, hop, "D 7\r\n")
			works(t, caller, client)
			works(t, hop, feed)
			if _, err := conn.Write([]byte(commit)); err == nil {
				t.Error("a commit that comes too late seems to have come")
			}
		})
	}
}

// A taker that ends while something is prepared takes what was committed, and nothing else.
func TestTakerEndsWhilePrepared(t *testing.T) {
	dir, next := t.TempDir(), newNode(t)
	stop := serve(t, dir, next)
	close(next.may)
	conn, caller, client, hop, feed := offered(t, dir, proxy.EstablishedSession{Server: "s1"})
	wait(t, next.asked)
	reads(t, conn, prepared)
	stop()
	wait(t, next.ended)
	if _, err := conn.Write([]byte(commit)); err == nil {
		t.Error("a commit to a taker that has ended seems to have come")
	}
	works(t, caller, client)
	works(t, hop, feed)
}

// late is a giver's connection on which the commit arrives just as the wait for it ends.
type late struct {
	*net.UnixConn
	giver net.Conn
	reads int
	word  string
}

func (l *late) Read(b []byte) (int, error) {
	if l.reads++; l.reads > 1 {
		return l.UnixConn.Read(b)
	}
	if _, err := l.giver.Write([]byte(l.word)); err != nil {
		return 0, err
	}
	return 0, os.ErrDeadlineExceeded
}

// Whether a giver has let go is never two things: a commit that was written counts, and
// one that does not count can't be written.
func TestCommitAtTheLastMoment(t *testing.T) {
	for _, word := range []string{commit, "commi", ""} {
		l, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: filepath.Join(t.TempDir(), "s"), Net: "unixpacket"})
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		giver, err := net.DialUnix("unixpacket", nil, l.Addr().(*net.UnixAddr))
		if err != nil {
			t.Fatal(err)
		}
		defer giver.Close()
		conn, err := l.AcceptUnix()
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if got := committed(&late{UnixConn: conn, giver: giver, word: word}); got != (word == commit) {
			t.Errorf("%q was taken for a commit: %v", word, got)
		}
		if _, err := giver.Write([]byte(commit)); err == nil {
			t.Error("a commit could be written later")
		}
	}
}

// A taker that ends between its word and the commit leaves what was offered here, where
// it is moved.
func TestTakerDiesPrepared(t *testing.T) {
	dir, old := t.TempDir(), newNode(t)
	l, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: filepath.Join(dir, version+"node.1"), Net: "unixpacket"})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		conn, err := l.AcceptUnix()
		if err != nil {
			return
		}
		defer conn.Close()
		rights := make([]byte, 64)
		_, n, _, _, _ := conn.ReadMsgUnix(make([]byte, largest), rights)
		conns, _ := received(rights[:n])
		for _, c := range conns {
			defer c.Close()
		}
		_ = conn.CloseRead() // as its death does, but for sure before the giver's next word
		_, _ = conn.Write([]byte(prepared))
	}()
	x, client, feed, finished := old.stands(t)
	x.HandOver(give(t, dir))
	ends(t, client, "MOVE\r\n")
	ends(t, feed, "")
	wait(t, finished)
	if o := wait(t, old.ended); o != balance.Cancelled {
		t.Errorf("it ended as %v", o)
	}
}
