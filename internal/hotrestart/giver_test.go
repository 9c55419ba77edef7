package hotrestart

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"coralrelay/balance"
	"coralrelay/internal/bufconn"
	"coralrelay/internal/proxy"
)

// Both connections go over with all that belongs to them, and outlive the giver's copies,
// also from a folder whose name is too long for an address.
func TestHandsOver(t *testing.T) {
	for _, dir := range []string{t.TempDir(), filepath.Join(t.TempDir(), strings.Repeat("long", 50))} {
		if err := os.MkdirAll(dir, 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(dir, version+"node.1"), []byte("stale"), 0o600); err != nil {
			t.Fatal(err)
		}
		k := &taker{wants: true}
		serve(t, dir, k)
		g := give(t, dir)
		for i := range 50 {
			caller, client := pair(t)
			hop, feed := pair(t)
			_ = caller.(*net.TCPConn).SetNoDelay(false) // whatever it was set to
			s := proxy.EstablishedSession{Request: proxy.Request{ID: fmt.Sprint("r", i), Class: "feed", Group: "g", Hint: 2,
				Deadline: time.Now()}, Server: "s1", FromClient: []byte(strings.Repeat("\xff", bufconn.BufferSize)),
				FromUpstream: []byte(strings.Repeat("\x00", bufconn.BufferSize)), PendingSince: time.Now()}
			if !g.Take(s, caller, hop) {
				t.Fatalf("connection %d was not taken", i)
			}
			caller.Close()
			hop.Close()
			got, caller2, hop2 := k.last()
			works(t, caller2, client)
			works(t, hop2, feed)
			for _, c := range []net.Conn{caller2, hop2} {
				if v, err := unix.GetsockoptInt(number(t, c), unix.IPPROTO_TCP, unix.TCP_NODELAY); err != nil || v != 1 {
					t.Errorf("TCP_NODELAY is %d, %v", v, err)
				}
			}
			if got.ID != s.ID || got.Server != "s1" || string(got.FromClient) != string(s.FromClient) ||
				string(got.FromUpstream) != string(s.FromUpstream) || !got.Deadline.Equal(s.Deadline) || !got.PendingSince.Equal(s.PendingSince) || got.Hint != 2 {
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
	m := balance.LearnedState{Age: time.Minute, MeanLoad: 0.5, LoadSamples: 16, RecentPlacements: 3}
	for i := range 1000 {
		m.Servers = append(m.Servers, balance.LearnedServer{ID: fmt.Sprint("s-", i, strings.Repeat("x", 100)), StartedAt: time.Hour, Load: -1, RecentAttempts: 1.0 / 3})
	}
	g.SendLearnedState(m)
	g.SendLearnedState(balance.LearnedState{MeanLoad: 0.25, LoadSamples: 1}) // of no fleet
	caller, _ := pair(t)
	hop, _ := pair(t)
	if !g.Take(proxy.EstablishedSession{Server: "s1"}, caller, hop) {
		t.Error("a connection was not taken after it")
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	var got balance.LearnedState
	for i, l := range k.learned {
		if i == 0 {
			got = l
			got.Servers = nil
		} else if l.RecentPlacements != 0 || l.Age != 0 {
			t.Errorf("message %d has again what counts once: %+v", i, l)
		}
		got.Servers = append(got.Servers, l.Servers...)
	}
	if !reflect.DeepEqual(got, m) || k.learned[len(k.learned)-1].MeanLoad != 0.25 {
		t.Errorf("%d servers arrived of %d, %+v", len(got.Servers), len(m.Servers), k.learned[0])
	}
}

// What is not taken, for whatever reason, stays the giver's and works.
func TestNotTaken(t *testing.T) {
	for name, start := range map[string]func(t *testing.T, dir string){
		"unwanted": func(t *testing.T, dir string) { serve(t, dir, &taker{}) },
		"the taker dies": func(t *testing.T, dir string) {
			l, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: filepath.Join(dir, version+"node.1"), Net: "unixpacket"})
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
			l, err := net.ListenUnix("unixpacket", &net.UnixAddr{Name: filepath.Join(dir, version+"node.1"), Net: "unixpacket"})
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
				if g.Take(proxy.EstablishedSession{Server: "s1"}, caller, hop) {
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
	if g, err := Dial(t.TempDir(), "node.1"); err == nil {
		g.Close()
		t.Error("there is nobody to give to")
	}
}
