package replayguard

import (
	"bufio"
	"context"
	"encoding/hex"
	"flag"
	"fmt"
	"maps"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"coralrelay/internal/resumetoken"
	"coralrelay/internal/store"
)

// testdata/stored/ledger.db was made by
//
//	go test ./internal/replayguard -run TestReadsStoredLedger -update
//
// It holds storedTokens, spent and swept at storedTime.
var update = flag.Bool("update", false, "rewrite testdata/stored")

const storedDir = "testdata/stored"

// storedTime lies in window 180000000.
var storedTime = time.UnixMilli(1_800_000_004_567)

var storedID = resumetoken.GuardID{0x0a, 0x1b, 0x2c, 0x3d, 0x4e, 0x5f, 0x60, 0x71}

// storedTokens are sealed by the second key of ring(t, "a", "b") and issued at storedTime.
var storedTokens = []struct{ claimant, text string }{
	{"a0a1a2a3a4a5a6a7a8a9aaabacadaeaf", "AQAAAAIKGyw9Tl9gcQAAAAAAAADgAAAAAAAAAGQAAAGjGFxh1wAAdTB0IqDVCNsa9YrYp84tErrhEBESExQVFhcYGRobHB0eHwJuMQJuMF6AcmnutrXC5Gvw6HH14I4"},
	{"b0b1b2b3b4b5b6b7b8b9babbbcbdbebf", "AQAAAAIKGyw9Tl9gcQAAAAAAAADhAAAAAAAAAGUAAAGjGFxh1wAAeRh0IqDVCNsa9YrYp84tErrhICEiIyQlJicoKSorLC0uLwJuMQJuMPCpEd0AhCLjYdS1kPKTTw8"},
	{"c0c1c2c3c4c5c6c7c8c9cacbcccdcecf", "AQAAAAIKGyw9Tl9gcQAAAAAAAADiAAAAAAAAAGYAAAGjGFxh1wAJJ8B0IqDVCNsa9YrYp84tErrhMDEyMzQ1Njc4OTo7PD0-PwJuMQJuMO0E-L0EscByrqgOhgPD6NE"},
}

// sweptToken was issued a minute before storedTime and expired in the last window swept.
const sweptToken = "AQAAAAIKGyw9Tl9gcQAAAAAAAADjAAAAAAAAAGcAAAGjGFt3dwAAw1B0IqDVCNsa9YrYp84tErrhQEFCQ0RFRkdISUpLTE1OTwJuMQJuMPfDzUrfSsvaXjqq-ZeJX4k"

func parseRedemptionID(t testing.TB, text string) resumetoken.RedemptionID {
	t.Helper()
	b, err := hex.DecodeString(text)
	if err != nil {
		t.Fatal(err)
	}
	return resumetoken.RedemptionID(b)
}

func openToken(t testing.TB, text string) *resumetoken.Token {
	t.Helper()
	token, err := resumetoken.Open(newTestKeyRing(t, "a", "b"), text)
	if err != nil {
		t.Fatal(err)
	}
	return &token
}

// startStored starts a ledger whose clock stands still.
func startGuardAt(t *testing.T, dir string, at time.Time) (*Guard, context.CancelFunc) {
	t.Helper()
	return startGuard(t, Options{Dir: dir, Now: func() time.Time { return at }})
}

// writeLedger makes what the stored file holds.
func writeStoredGuard(t *testing.T, dir string) {
	t.Helper()
	s, err := store.Open(filepath.Join(dir, "ledger.db"), Schema, store.Options{})
	if err != nil {
		t.Fatal(err)
	}
	err = s.Update(func(tx *store.Tx) error { return tx.Bucket([]byte("meta")).Put([]byte("id"), storedID[:]) })
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	guard, stop := startGuardAt(t, dir, storedTime)
	guard.backend.sweep()
	for _, token := range storedTokens {
		if v := spendWithID(guard, openToken(t, token.text), parseRedemptionID(t, token.claimant)); v != resumetoken.Granted {
			t.Fatal(v)
		}
	}
	stop()
}

// copyStored returns a folder with a copy of the stored ledger.
func copyStored(t *testing.T) string {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "copy")
	if err := os.CopyFS(dir, os.DirFS(storedDir)); err != nil {
		t.Fatal(err)
	}
	return dir
}

// contents lists what a ledger's file holds, keys below the first bucket and values in
// hexadecimal digits, and the records of each window.
func fileContents(t *testing.T, dir string) (lines []string, records map[resumetoken.Window]int) {
	t.Helper()
	s, err := store.Open(filepath.Join(dir, "ledger.db"), Schema, store.Options{ReadOnly: true})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	var list func(path string, b *store.Bucket) error
	list = func(path string, b *store.Bucket) error {
		return b.ForEach(func(k, v []byte) error {
			path := fmt.Sprintf("%s/%x", path, k)
			if v == nil {
				return list(path, b.Bucket(k))
			}
			lines = append(lines, fmt.Sprintf("%s %x", path, v))
			return nil
		})
	}
	records = map[resumetoken.Window]int{}
	err = s.View(func(tx *store.Tx) error {
		if err := tx.ForEach(func(name []byte, b *store.Bucket) error { return list(string(name), b) }); err != nil {
			return err
		}
		return ForEachWindow(tx, func(w resumetoken.Window, spent int) { records[w] = spent })
	})
	if err != nil {
		t.Fatal(err)
	}
	return lines, records
}

// A stored ledger holds what it held, and what is written now holds the same.
func TestReadsStoredGuardFile(t *testing.T) {
	if *update {
		dir := t.TempDir()
		writeStoredGuard(t, dir)
		_ = os.RemoveAll(storedDir)
		if err := os.CopyFS(storedDir, os.DirFS(dir)); err != nil {
			t.Fatal(err)
		}
	}
	stored, fresh := copyStored(t), t.TempDir()
	writeStoredGuard(t, fresh)
	want := []string{
		"meta/6964 0a1b2c3d4e5f6071",         // id
		"meta/6b696e64 6c6564676572",         // kind: ledger
		"meta/6c61796f7574 0000000000000001", // layout
		"rules/7377657074 000000000aba94ff",  // swept: 179999999
		"spent/000000000aba9503/101112131415161718191a1b1c1d1e1f a0a1a2a3a4a5a6a7a8a9aaabacadaeaf", // window 180000003
		"spent/000000000aba9503/202122232425262728292a2b2c2d2e2f b0b1b2b3b4b5b6b7b8b9babbbcbdbebf",
		"spent/000000000aba953c/303132333435363738393a3b3c3d3e3f c0c1c2c3c4c5c6c7c8c9cacbcccdcecf", // window 180000060
	}
	for name, dir := range map[string]string{"stored": stored, "written now": fresh} {
		lines, records := fileContents(t, dir)
		if !slices.Equal(lines, want) {
			t.Errorf("%s: it holds\n%s\nwant\n%s", name, strings.Join(lines, "\n"), strings.Join(want, "\n"))
		}
		if want := map[resumetoken.Window]int{180000003: 2, 180000060: 1}; !maps.Equal(records, want) {
			t.Errorf("%s: %v records by window, want %v", name, records, want)
		}
	}

	// A clock set back by half a minute: only the stored mark tells that sweptToken is
	// too old.
	guard, _ := startGuardAt(t, stored, storedTime.Add(-30*time.Second))
	if guard.ID != storedID || !guard.IsDurable || guard.RecordCount() != 3 {
		t.Errorf("ledger %x, stays %v, %d records", guard.ID, guard.IsDurable, guard.RecordCount())
	}
	for i, token := range storedTokens {
		if v := spendWithID(guard, openToken(t, token.text), parseRedemptionID(t, token.claimant)); v != resumetoken.Granted {
			t.Errorf("token %d by who had it: %v", i, v)
		}
		if v := spend(guard, openToken(t, token.text), 1); v != resumetoken.Spent {
			t.Errorf("token %d by another: %v", i, v)
		}
	}
	if v := spend(guard, openToken(t, sweptToken), 1); v != resumetoken.Expired {
		t.Errorf("a token that was swept: %v", v)
	}
}

const wireChallenge = "f0e1d2c3b4a5968778695a4b3c2d1e0f"

// wireLines are what a peer asks on one connection and what it is answered.
var wireExchanges = []struct{ ask, answer string }{
	{
		"HELLO f0e1d2c3b4a5968778695a4b3c2d1e0f 1 00000002 002ca6821ed0088171daca0943dbb49c\r\n",
		"LEDGER 1 n0 0a1b2c3d4e5f6071 ready stays 4ff22a99c7be96e21d9b622dcf5a931b\r\n",
	},
	{
		"SPEND f0e1d2c3b4a5968778695a4b3c2d1e0f 2 00000002 b0b1b2b3b4b5b6b7b8b9babbbcbdbebf AQAAAAIKGyw9Tl9gcQAAAAAAAADhAAAAAAAAAGUAAAGjGFxh1wAAeRh0IqDVCNsa9YrYp84tErrhICEiIyQlJicoKSorLC0uLwJuMQJuMPCpEd0AhCLjYdS1kPKTTw8 4f5011cd37a26749b1f60d7dbe7b589e\r\n",
		"VERDICT 2 granted 225aa11b2a77055d1fd8f8ee71851b12\r\n",
	},
	{
		"SPEND f0e1d2c3b4a5968778695a4b3c2d1e0f 3 00000002 d0d1d2d3d4d5d6d7d8d9dadbdcdddedf AQAAAAIKGyw9Tl9gcQAAAAAAAADhAAAAAAAAAGUAAAGjGFxh1wAAeRh0IqDVCNsa9YrYp84tErrhICEiIyQlJicoKSorLC0uLwJuMQJuMPCpEd0AhCLjYdS1kPKTTw8 76a555ef2779f3a22db64ed463cb78fc\r\n",
		"VERDICT 3 spent d8831d4191c562a02413e670ee357db0\r\n",
	},
}

// exchange sends a line to a server and returns the line that comes back.
func roundTrip(t *testing.T, s *Server, line string) string {
	t.Helper()
	near, far := net.Pipe()
	served := make(chan struct{})
	go func() { s.serveConnection(context.Background(), far); close(served) }()
	defer func() { _ = near.Close(); <-served }()
	if _, err := near.Write([]byte(line)); err != nil {
		t.Fatal(err)
	}
	answer, err := bufio.NewReader(near).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	return answer
}

func TestServerWireFormat(t *testing.T) {
	keyRing := newTestKeyRing(t, "a", "b")
	guard, _ := startGuardAt(t, copyStored(t), storedTime)
	s := &Server{Name: "n0", Guard: guard, KeyRing: func() *resumetoken.KeyRing { return keyRing }}
	for _, line := range wireExchanges {
		if answer := roundTrip(t, s, line.ask); answer != line.answer {
			t.Errorf("%q\nis answered %q\nwant        %q", line.ask, answer, line.answer)
		}
	}
	if answer := roundTrip(t, s, "SPEND\r\n"); answer != "NO\r\n" {
		t.Errorf("a malformed line is answered %q", answer)
	}
	s.Guard = NewUnavailable()
	s.Guard.ID = storedID
	if answer, want := roundTrip(t, s, wireExchanges[0].ask), "LEDGER 1 n0 0a1b2c3d4e5f6071 full goes f24629a2e2db2e7bda416f03f391e0ea\r\n"; answer != want {
		t.Errorf("a ledger with no room answers %q, want %q", answer, want)
	}
}

func TestPeerWireFormat(t *testing.T) {
	keyRing := newTestKeyRing(t, "a", "b")
	peer := &Peer{Name: "n0", ring: func() *resumetoken.KeyRing { return keyRing }}
	peer.connection = &peerConnection{challenge: wireChallenge, outgoing: make(chan string, 1), pending: map[uint64]*pendingRequest{}}
	checkExchange := func(i int) {
		t.Helper()
		if request := <-peer.connection.outgoing; request != wireExchanges[i].ask {
			t.Errorf("asked %q\nwant  %q", request, wireExchanges[i].ask)
		}
		if err := peer.handleResponse(peer.connection, strings.Fields(wireExchanges[i].answer)); err != nil {
			t.Errorf("answer %q: %v", wireExchanges[i].answer, err)
		}
	}
	peer.send(peer.connection, nil, helloMessage)
	checkExchange(0)
	if want := (resumetoken.Candidate{Name: "n0", GuardID: storedID, IsReady: true, IsDurable: true}); peer.status != want {
		t.Errorf("the peer is %+v, want %+v", peer.status, want)
	}
	for i, c := range []struct {
		claimant string
		want     resumetoken.Verdict
	}{
		{"b0b1b2b3b4b5b6b7b8b9babbbcbdbebf", resumetoken.Granted},
		{"d0d1d2d3d4d5d6d7d8d9dadbdcdddedf", resumetoken.Spent},
	} {
		answered := make(chan resumetoken.Verdict, 1)
		id := parseRedemptionID(t, c.claimant)
		go func() {
			v, _ := peer.Spend(context.Background(), storedTokens[1].text, id)
			answered <- v
		}()
		checkExchange(i + 1)
		if v := <-answered; v != c.want {
			t.Errorf("verdict %v, want %v", v, c.want)
		}
	}
}
