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
	"coralrelay/internal/testsocket"
)

// A session is handed over with its state and both connections, which stay open after the sender
// closes its copies. This also works in a directory whose path is too long for a socket address.
func TestHandsOverSessions(t *testing.T) {
	for _, dir := range []string{t.TempDir(), filepath.Join(t.TempDir(), strings.Repeat("long", 50))} {
		if err := os.MkdirAll(dir, 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(socketPath(dir), []byte("stale"), 0o600); err != nil {
			t.Fatal(err)
		}
		receiver := &fakeReceiver{accepts: true}
		startReceiver(t, dir, receiver)
		sender := dialSender(t, dir)
		for i := range 50 {
			downstreamConn, client := testsocket.Pair(t)
			upstreamConn, server := testsocket.Pair(t)
			_ = downstreamConn.SetNoDelay(false) // the receiver must set it again
			session := proxy.EstablishedSession{
				Request:      proxy.Request{ID: fmt.Sprint("r", i), Class: "feed", Group: "g", Hint: 2, Deadline: time.Now()},
				Server:       "s1",
				FromClient:   []byte(strings.Repeat("\xff", bufconn.BufferSize)),
				FromUpstream: []byte(strings.Repeat("\x00", bufconn.BufferSize)),
				PendingSince: time.Now(),
			}
			if !sender.Take(session, downstreamConn, upstreamConn) {
				t.Fatalf("session %d was not accepted", i)
			}
			_ = downstreamConn.Close()
			_ = upstreamConn.Close()
			got, receivedDownstream, receivedUpstream := receiver.last()
			expectConnected(t, receivedDownstream, client)
			expectConnected(t, receivedUpstream, server)
			for _, c := range []net.Conn{receivedDownstream, receivedUpstream} {
				if v, err := unix.GetsockoptInt(descriptorOf(t, c), unix.IPPROTO_TCP, unix.TCP_NODELAY); err != nil || v != 1 {
					t.Errorf("TCP_NODELAY is %d, %v", v, err)
				}
			}
			if got.ID != session.ID || got.Server != "s1" || string(got.FromClient) != string(session.FromClient) ||
				string(got.FromUpstream) != string(session.FromUpstream) || !got.Deadline.Equal(session.Deadline) ||
				!got.PendingSince.Equal(session.PendingSince) || got.Hint != 2 {
				t.Errorf("got %+v", got)
			}
			receivedDownstream.Close()
			receivedUpstream.Close()
		}
	}
}

// Learned state of more endpoints than fit into a message is sent completely, with the fields that
// do not belong to an endpoint only once. Sessions can be handed over afterwards.
func TestSendsLearnedState(t *testing.T) {
	dir := t.TempDir()
	receiver := &fakeReceiver{accepts: true}
	startReceiver(t, dir, receiver)
	sender := dialSender(t, dir)
	state := balance.LearnedState{Age: time.Minute, MeanLoad: 0.5, LoadSamples: 16, RecentPlacements: 3}
	for i := range 1000 {
		id := fmt.Sprint("s-", i, strings.Repeat("x", 100))
		state.Servers = append(state.Servers,
			balance.LearnedServer{ID: id, StartedAt: time.Hour, Load: -1, RecentAttempts: 1.0 / 3})
	}
	sender.SendLearnedState(state)
	sender.SendLearnedState(balance.LearnedState{MeanLoad: 0.25, LoadSamples: 1}) // without servers
	downstreamConn, _ := testsocket.Pair(t)
	upstreamConn, _ := testsocket.Pair(t)
	if !sender.Take(proxy.EstablishedSession{Server: "s1"}, downstreamConn, upstreamConn) {
		t.Error("a session was not accepted after the learned state")
	}
	receiver.mu.Lock()
	defer receiver.mu.Unlock()
	var got balance.LearnedState
	for i, learned := range receiver.learned {
		if i == 0 {
			got = learned
			got.Servers = nil
		} else if learned.RecentPlacements != 0 || learned.Age != 0 {
			t.Errorf("message %d repeats fields that must be sent once: %+v", i, learned)
		}
		got.Servers = append(got.Servers, learned.Servers...)
	}
	if !reflect.DeepEqual(got, state) || receiver.learned[len(receiver.learned)-1].MeanLoad != 0.25 {
		t.Errorf("%d of %d servers arrived, %+v", len(got.Servers), len(state.Servers), receiver.learned[0])
	}
}

// A session that the receiver does not accept, for any reason, stays connected at the sender.
func TestRejectedSessionStaysWithSender(t *testing.T) {
	for name, start := range map[string]func(t *testing.T, dir string){
		"unwanted": func(t *testing.T, dir string) { startReceiver(t, dir, &fakeReceiver{}) },
		"the receiver dies": func(t *testing.T, dir string) {
			listener := listenAt(t, socketPath(dir))
			go func() {
				conn, err := listener.AcceptUnix()
				if err != nil {
					return
				}
				b, oob := make([]byte, maxMessageBytes), make([]byte, 64)
				_, _, _, _, _ = conn.ReadMsgUnix(b, oob) // receives the descriptors and does not reply
				_ = conn.Close()
			}()
		},
		"the receiver hangs": func(t *testing.T, dir string) { listenAt(t, socketPath(dir)) },
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			start(t, dir)
			sender := dialSender(t, dir)
			begun := time.Now()
			for range 3 { // only the first may wait for the timeout
				downstreamConn, client := testsocket.Pair(t)
				upstreamConn, server := testsocket.Pair(t)
				if sender.Take(proxy.EstablishedSession{Server: "s1"}, downstreamConn, upstreamConn) {
					t.Fatal("taken")
				}
				expectConnected(t, downstreamConn, client)
				expectConnected(t, upstreamConn, server)
			}
			if took := time.Since(begun); took > 2*transferTimeout {
				t.Errorf("three sessions took %v", took)
			}
		})
	}
	if sender, err := Dial(t.TempDir(), "node.1"); err == nil {
		sender.Close()
		t.Error("Dial succeeded without a receiver")
	}
}
