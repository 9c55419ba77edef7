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
)

// Messages that are none are answered, and cost no descriptor.
func TestForeignMessages(t *testing.T) {
	dir := t.TempDir()
	k := &taker{wants: true}
	serve(t, dir, k)
	g := give(t, dir)
	near, far := pair(t)
	datagrams, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer datagrams.Close()
	a, b, udp := number(t, near), number(t, far), number(t, datagrams)
	file, err := os.Open(os.DevNull)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	g.SendLearnedState(balance.LearnedState{}) // so that the taker has accepted
	before := descriptors(t)
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
		if _, _, err := g.conn.WriteMsgUnix([]byte(m.text), rights, nil); err != nil {
			t.Fatal(name, err)
		}
		answer := make([]byte, 16)
		g.conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		n, err := g.conn.Read(answer)
		if string(answer[:n]) != kept {
			t.Errorf("%s: answered %q, %v", name, answer[:n], err)
		}
	}
	settles(t, before)
	if len(k.given) > 0 {
		t.Errorf("taken: %v", k.given)
	}
	works(t, near, far)
}
