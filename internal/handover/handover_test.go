package handover

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"coralrelay/balance"
	"coralrelay/internal/exchange"
	"coralrelay/internal/leg"
)

// taker keeps what it is given, unless it wants nothing.
type taker struct {
	mu      sync.Mutex
	wants   bool
	given   []exchange.Standing
	caller  []net.Conn
	hop     []net.Conn
	learned []balance.Memory
}

func (k *taker) Adopt(s exchange.Standing, caller, hop net.Conn) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.wants {
		k.given, k.caller, k.hop = append(k.given, s), append(k.caller, caller), append(k.hop, hop)
	}
	return k.wants
}

func (k *taker) Learn(m balance.Memory) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.learned = append(k.learned, m)
}

func (k *taker) last() (s exchange.Standing, caller, hop net.Conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := len(k.given) - 1
	return k.given[n], k.caller[n], k.hop[n]
}

// pair returns the two ends of a connection.
func pair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	far, err = net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if near, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { near.Close(); far.Close() })
	return near, far
}

func serve(t *testing.T, dir string, k *taker) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var parts sync.WaitGroup
	if err := Serve(ctx, &parts, dir, "node.1", k); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cancel(); parts.Wait() })
}

func give(t *testing.T, dir string) *Giver {
	t.Helper()
	g, err := Give(dir, "node.1")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	return g
}

// works tells whether what is written at one end arrives at the other.
func works(t *testing.T, near, far net.Conn) {
	t.Helper()
	for _, ends := range [][2]net.Conn{{near, far}, {far, near}} {
		ends[1].SetReadDeadline(time.Now().Add(5 * time.Second))
		b := make([]byte, 4)
		if _, err := fmt.Fprint(ends[0], "line"); err != nil {
			t.Error(err)
		} else if n, err := ends[1].Read(b); string(b[:n]) != "line" {
			t.Errorf("%q, %v", b[:n], err)
		}
	}
}

// Both connections go over with all that belongs to them, and outlive the giver's copies,
// also from a folder whose name is too long for an address.
func TestHandsOver(t *testing.T) {
	for _, dir := range []string{t.TempDir(), filepath.Join(t.TempDir(), strings.Repeat("long", 50))} {
		if err := os.MkdirAll(dir, 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(dir, "node.1"), []byte("stale"), 0o600); err != nil {
			t.Fatal(err)
		}
		k := &taker{wants: true}
		serve(t, dir, k)
		g := give(t, dir)
		for i := range 50 {
			caller, client := pair(t)
			hop, feed := pair(t)
			s := exchange.Standing{Request: exchange.Request{ID: fmt.Sprint("r", i), Class: "feed", Group: "g", Hint: 2,
				Deadline: time.Now()}, Server: "s1", FromCaller: []byte(strings.Repeat("\xff", leg.Size)),
				FromHop: []byte(strings.Repeat("\x00", leg.Size)), Pending: time.Now()}
			if !g.Take(s, caller, hop) {
				t.Fatalf("connection %d was not taken", i)
			}
			caller.Close()
			hop.Close()
			got, caller2, hop2 := k.last()
			works(t, caller2, client)
			works(t, hop2, feed)
			if got.ID != s.ID || got.Server != "s1" || string(got.FromCaller) != string(s.FromCaller) ||
				string(got.FromHop) != string(s.FromHop) || !got.Deadline.Equal(s.Deadline) || !got.Pending.Equal(s.Pending) || got.Hint != 2 {
				t.Errorf("got %+v", got)
			}
			caller2.Close()
			hop2.Close()
		}
	}
}

// What was learned of a fleet larger than a message arrives, and what is no fleet's counts
// once; then connections follow.
func TestTells(t *testing.T) {
	dir := t.TempDir()
	k := &taker{wants: true}
	serve(t, dir, k)
	g := give(t, dir)
	m := balance.Memory{Age: time.Minute, Usual: 0.5, Answers: 16, Late: 3}
	for i := range 1000 {
		m.Servers = append(m.Servers, balance.KnownServer{ID: fmt.Sprint("s-", i, strings.Repeat("x", 100)), Started: time.Hour, Load: -1, Sent: 1.0 / 3})
	}
	g.Tell(m)
	g.Tell(balance.Memory{Usual: 0.25, Answers: 1}) // of no fleet
	caller, _ := pair(t)
	hop, _ := pair(t)
	if !g.Take(exchange.Standing{Server: "s1"}, caller, hop) {
		t.Error("a connection was not taken after it")
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	var got balance.Memory
	for i, l := range k.learned {
		if i == 0 {
			got = l
			got.Servers = nil
		} else if l.Late != 0 || l.Age != 0 {
			t.Errorf("message %d has again what counts once: %+v", i, l)
		}
		got.Servers = append(got.Servers, l.Servers...)
	}
	if !reflect.DeepEqual(got, m) || k.learned[len(k.learned)-1].Usual != 0.25 {
		t.Errorf("%d servers arrived of %d, %+v", len(got.Servers), len(m.Servers), k.learned[0])
	}
}

// What is not taken, for whatever reason, stays the giver's and works.
func TestNotTaken(t *testing.T) {
	for name, start := range map[string]func(t *testing.T, dir string){
		"unwanted": func(t *testing.T, dir string) { serve(t, dir, &taker{}) },
		"the taker dies": func(t *testing.T, dir string) {
			l, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: filepath.Join(dir, "node.1"), Net: "unixpacket"})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { l.Close() })
			go func() {
				conn, err := l.AcceptUnix()
				if err != nil {
					return
				}
				b, oob := make([]byte, largest), make([]byte, 64)
				_, _, _, _, _ = conn.ReadMsgUnix(b, oob) // it has them, and says nothing
				conn.Close()
			}()
		},
		"the taker hangs": func(t *testing.T, dir string) {
			l, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: filepath.Join(dir, "node.1"), Net: "unixpacket"})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { l.Close() })
		},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			start(t, dir)
			g := give(t, dir)
			begun := time.Now()
			for range 3 { // only the first may cost time
				caller, client := pair(t)
				hop, feed := pair(t)
				if g.Take(exchange.Standing{Server: "s1"}, caller, hop) {
					t.Fatal("taken")
				}
				works(t, caller, client)
				works(t, hop, feed)
			}
			if took := time.Since(begun); took > 2*within {
				t.Errorf("it took %v", took)
			}
		})
	}
	if g, err := Give(t.TempDir(), "node.1"); err == nil {
		g.Close()
		t.Error("there is nobody to give to")
	}
}

// Messages that are none are answered, and cost no descriptor.
func TestForeignMessages(t *testing.T) {
	dir := t.TempDir()
	k := &taker{wants: true}
	serve(t, dir, k)
	g := give(t, dir)
	near, far := pair(t)
	fd := func(c net.Conn) (fd int) {
		if err := with(c, func(n int) error { fd = n; return nil }); err != nil {
			t.Fatal(err)
		}
		return fd
	}
	a, b := fd(near), fd(far)
	file, err := os.Open(os.DevNull)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	open := func() int {
		list, err := os.ReadDir("/proc/self/fd")
		if err != nil {
			t.Fatal(err)
		}
		return len(list)
	}
	before := open()
	for name, m := range map[string]struct {
		text string
		fds  []int
	}{
		"no sockets": {`{"ID":"a"}`, nil}, "one socket": {`{"ID":"a"}`, []int{a}}, "no message": {`{"ID":`, []int{a, b}},
		"not sockets": {`{"ID":"a"}`, []int{int(file.Fd()), int(file.Fd())}}, "three": {`{"ID":"a"}`, []int{a, b, a}},
		"too much read": {fmt.Sprintf(`{"FromHop":%q}`, strings.Repeat("QUFB", leg.Size/2)), []int{a, b}},
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
	after := open()
	for begun := time.Now(); after != before && time.Since(begun) < 5*time.Second; after = open() { // others of this process open and close too
	}
	if after != before || len(k.given) > 0 {
		t.Errorf("%d descriptors before, %d after; taken: %v", before, after, k.given)
	}
	works(t, near, far)
}
