package hotrestart

import (
	"fmt"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"coralrelay/balance"
	"coralrelay/internal/bufconn"
	"coralrelay/internal/testsocket"
)

// Malformed messages must be answered with a rejection and must not leak descriptors.
func TestRejectsForeignMessages(t *testing.T) {
	dir := t.TempDir()
	receiver := &fakeReceiver{accepts: true}
	startReceiver(t, dir, receiver)
	sender := dialSender(t, dir)
	near, far := testsocket.Pair(t)
	datagrams, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = datagrams.Close() }()
	a, b, udp := descriptorOf(t, near), descriptorOf(t, far), descriptorOf(t, datagrams)
	file, err := os.Open(os.DevNull)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	sender.SendLearnedState(balance.LearnedState{}) // ensures that the receiver has accepted the sender
	before := countOpenDescriptors(t)
	for name, m := range map[string]struct {
		text string
		fds  []int
	}{
		"no sockets": {`{"ID":"a"}`, nil}, "one socket": {`{"ID":"a"}`, []int{a}}, "no message": {`{"ID":`, []int{a, b}},
		"not sockets": {`{"ID":"a"}`, []int{int(file.Fd()), int(file.Fd())}}, "three": {`{"ID":"a"}`, []int{a, b, a}},
		"no TCP":        {`{"ID":"a"}`, []int{a, udp}},
		"too much read": {fmt.Sprintf(`{"FromHop":%q}`, strings.Repeat("QUFB", bufconn.BufferSize/2)), []int{a, b}},
	} {
		var rights []byte
		if m.fds != nil {
			rights = unix.UnixRights(m.fds...)
		}
		if _, _, err := sender.conn.WriteMsgUnix([]byte(m.text), rights, nil); err != nil {
			t.Fatal(name, err)
		}
		reply := make([]byte, 16)
		_ = sender.conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		n, err := sender.conn.Read(reply)
		if string(reply[:n]) != replyRejected {
			t.Errorf("%s: reply %q, %v", name, reply[:n], err)
		}
	}
	expectOpenDescriptors(t, before)
	if len(receiver.sessions) > 0 {
		t.Errorf("adopted sessions: %v", receiver.sessions)
	}
	expectConnected(t, near, far)
}
