package hotrestart

import (
	"encoding/json"
	"flag"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"coralrelay/balance"
	"coralrelay/internal/proxy"
	"coralrelay/internal/testsocket"
)

// The files in testdata/stored are messages that processes of two versions exchange. They were
// written, before the fields had struct tags, by
//
//	go test ./internal/hotrestart -run TestStored -update
var update = flag.Bool("update", false, "rewrite testdata/stored with the messages of this version")

// storedSession is the content of standing.json, storedLearnedState that of lesson.json.
var (
	storedSession = proxy.EstablishedSession{
		Request: proxy.Request{
			ID: "n1.7", Class: "feed", Key: "k:blue", Group: "p:g2", Tenant: "north", CurrentServer: "s9", Hint: 0.25,
			Retry: true, Returned: true, Deadline: time.Date(2031, 2, 3, 4, 5, 6, 7, time.UTC),
			ZoneConstraint: &balance.ZoneConstraint{
				Name:         "acme/web",
				Zones:        []balance.ZoneShare{{Zone: "a", Share: 0.5}, {Zone: "b", Share: 0.75}},
				DefaultShare: 0.125,
			},
		},
		Server: "s3", FromClient: []byte("are"), FromUpstream: []byte("LOA"),
		PendingSince: time.Date(2032, 3, 4, 5, 6, 7, 8, time.UTC),
	}
	storedLearnedState = balance.LearnedState{
		Age: time.Minute, MeanLoad: 0.5, LoadSamples: 16, ProbeRTT: 0.001, ProbeRTTDeviation: 0.002,
		RecentPlacements: 3, BaselinePlacements: 4, MeanHint: 0.25, HintSamples: 5,
		Servers: []balance.LearnedServer{
			{ID: "s1", StartedAt: time.Hour, Load: 0.75, LoadPerConnection: 0.0625, PlacedLoad: 6, Faults: 7, RecentAttempts: 8},
		},
	}
)

// stored returns the message in a file of testdata/stored.
func stored(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "stored", name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// otherVersionSocket returns the address at which a process of another version listens.
func otherVersionSocket(dir string) *net.UnixAddr {
	return &net.UnixAddr{Name: filepath.Join(dir, "handover2-node.1"), Net: "unixpacket"}
}

// expectReply reads one message and requires that it is exactly want.
func expectReply(t *testing.T, conn net.Conn, want string) {
	t.Helper()
	b := make([]byte, 64)
	if n, err := conn.Read(b); string(b[:n]) != want {
		t.Errorf("read %q, %v; want %q", b[:n], err, want)
	}
}

// The sender must write exactly the stored bytes and understand the replies of a receiver of
// another version.
func TestStoredMessagesAreWritten(t *testing.T) {
	dir := t.TempDir()
	l, err := net.ListenUnix("unixpacket", otherVersionSocket(dir))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	sender := dialSender(t, dir)
	conn, err := l.AcceptUnix()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	expectMessage := func(name, reply string) {
		t.Helper()
		message := make([]byte, 1<<16)
		n, err := conn.Read(message)
		if err != nil {
			t.Fatal(err)
		}
		if *update {
			if err := os.WriteFile(filepath.Join("testdata", "stored", name), message[:n], 0o600); err != nil {
				t.Fatal(err)
			}
		}
		if want := stored(t, name); string(message[:n]) != string(want) {
			t.Errorf("written %s\nstored  %s", message[:n], want)
		}
		if _, err := conn.Write([]byte(reply)); err != nil {
			t.Fatal(err)
		}
	}
	downstreamConn, _ := testsocket.Pair(t)
	upstreamConn, _ := testsocket.Pair(t)
	taken := make(chan bool, 1)
	for _, reply := range []string{"not taken", "prepared"} {
		go func() { taken <- sender.Take(storedSession, downstreamConn, upstreamConn) }()
		expectMessage("standing.json", reply)
		if reply == "prepared" {
			expectReply(t, conn, "commit")
		}
		if accepted := await(t, taken); accepted != (reply == "prepared") {
			t.Errorf("reply %q: Take returned %v", reply, accepted)
		}
	}
	go func() { sender.SendLearnedState(storedLearnedState); taken <- true }()
	expectMessage("lesson.json", "taken")
	await(t, taken)
}

// The receiver must decode the stored bytes to the same values and send the replies that a sender
// of another version expects.
func TestStoredMessagesAreRead(t *testing.T) {
	dir, receiver := t.TempDir(), &fakeReceiver{accepts: true}
	startReceiver(t, dir, receiver)
	conn, err := net.DialUnix("unixpacket", nil, otherVersionSocket(dir))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	downstreamConn, _ := testsocket.Pair(t)
	upstreamConn, _ := testsocket.Pair(t)
	rights := unix.UnixRights(descriptorOf(t, downstreamConn), descriptorOf(t, upstreamConn))
	for _, m := range []struct {
		text   []byte
		rights []byte
		reply  string
	}{
		{stored(t, "standing.json"), rights, "prepared"},
		{[]byte("commit"), nil, ""},
		{stored(t, "lesson.json"), nil, "taken"},
		{[]byte("no message"), nil, "not taken"},
	} {
		if _, _, err := conn.WriteMsgUnix(m.text, m.rights, nil); err != nil {
			t.Fatal(err)
		}
		if m.reply != "" {
			expectReply(t, conn, m.reply)
		}
	}
	session, _, _ := receiver.last()
	session.Gate = nil
	if !reflect.DeepEqual(session, storedSession) {
		t.Errorf("read %+v\nwant %+v", session, storedSession)
	}
	receiver.mu.Lock()
	defer receiver.mu.Unlock()
	if len(receiver.learned) != 1 || !reflect.DeepEqual(receiver.learned[0], storedLearnedState) {
		t.Errorf("learned %+v\nwant %+v", receiver.learned, storedLearnedState)
	}
	var again proxy.EstablishedSession // Retry and Returned are both true in the stored message
	if err := json.Unmarshal([]byte(`{"Retry":true}`), &again); err != nil || !again.Retry || again.Returned {
		t.Errorf("read %+v, %v", again, err)
	}
}
