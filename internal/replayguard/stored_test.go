package replayguard

import (
	"context"
	"encoding/hex"
	"flag"
	"fmt"
	"maps"
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
//	go test ./internal/replayguard -run TestReadsStoredGuardFile -update
//
// It holds storedTokens, spent and swept at storedTime.
var update = flag.Bool("update", false, "rewrite testdata/stored")

const storedDir = "testdata/stored"

// storedTime lies in window 180000000.
var storedTime = time.UnixMilli(1_800_000_004_567)

var storedID = resumetoken.GuardID{0x0a, 0x1b, 0x2c, 0x3d, 0x4e, 0x5f, 0x60, 0x71}

// storedTokens are authenticated by the second key of storedKeyRing and issued at storedTime.
var storedTokens = []struct{ redemptionID, text string }{
	{"a0a1a2a3a4a5a6a7a8a9aaabacadaeaf", "AQAAAAIKGyw9Tl9gcQAAAAAAAADgAAAAAAAAAGQAAAGjGFxh1wAAdTB0IqDVCNsa9YrYp84tErrhEBESExQVFhcYGRobHB0eHwJuMQJuMF6AcmnutrXC5Gvw6HH14I4"},
	{"b0b1b2b3b4b5b6b7b8b9babbbcbdbebf", "AQAAAAIKGyw9Tl9gcQAAAAAAAADhAAAAAAAAAGUAAAGjGFxh1wAAeRh0IqDVCNsa9YrYp84tErrhICEiIyQlJicoKSorLC0uLwJuMQJuMPCpEd0AhCLjYdS1kPKTTw8"},
	{"c0c1c2c3c4c5c6c7c8c9cacbcccdcecf", "AQAAAAIKGyw9Tl9gcQAAAAAAAADiAAAAAAAAAGYAAAGjGFxh1wAJJ8B0IqDVCNsa9YrYp84tErrhMDEyMzQ1Njc4OTo7PD0-PwJuMQJuMO0E-L0EscByrqgOhgPD6NE"},
}

// sweptToken was issued a minute before storedTime and expired in the last window swept.
const sweptToken = "AQAAAAIKGyw9Tl9gcQAAAAAAAADjAAAAAAAAAGcAAAGjGFt3dwAAw1B0IqDVCNsa9YrYp84tErrhQEFCQ0RFRkdISUpLTE1OTwJuMQJuMPfDzUrfSsvaXjqq-ZeJX4k"

func parseRedemptionID(t testing.TB, text string) resumetoken.RedemptionID {
	t.Helper()
	id, err := hex.DecodeString(text)
	if err != nil {
		t.Fatal(err)
	}
	return resumetoken.RedemptionID(id)
}

// storedKeyRing has the key that authenticates the stored tokens.
func storedKeyRing(t testing.TB) *resumetoken.KeyRing {
	t.Helper()
	return newTestKeyRing(t, "a", "b")
}

// startGuardAt starts a guard whose clock stands still.
func startGuardAt(t *testing.T, dir string, at time.Time) (*Guard, context.CancelFunc) {
	t.Helper()
	return startGuard(t, Options{Dir: dir, Now: func() time.Time { return at }})
}

// writeStoredGuard writes what the stored file holds.
func writeStoredGuard(t *testing.T, dir string) {
	t.Helper()
	opened, err := store.Open(filepath.Join(dir, "ledger.db"), Schema, store.Options{})
	if err != nil {
		t.Fatal(err)
	}
	err = opened.Update(func(tx *store.Tx) error { return tx.Bucket([]byte("meta")).Put([]byte("id"), storedID[:]) })
	if err != nil {
		t.Fatal(err)
	}
	if err := opened.Close(); err != nil {
		t.Fatal(err)
	}
	guard, stop := startGuardAt(t, dir, storedTime)
	guard.backend.sweep()
	for i := range storedTokens {
		if verdict := spendStored(t, guard, i); verdict != resumetoken.Granted {
			t.Fatal(verdict)
		}
	}
	stop()
}

// spendStored returns the verdict on a stored token for the redemption that it was granted to.
func spendStored(t *testing.T, guard *Guard, number int) resumetoken.Verdict {
	t.Helper()
	stored := storedTokens[number]
	token := openToken(t, storedKeyRing(t), stored.text)
	return spendWithID(guard, token, parseRedemptionID(t, stored.redemptionID))
}

// copyStored returns a directory with a copy of the stored file.
func copyStored(t *testing.T) string {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "copy")
	if err := os.CopyFS(dir, os.DirFS(storedDir)); err != nil {
		t.Fatal(err)
	}
	return dir
}

// fileContents lists what a guard's file holds, keys below the first bucket and values in
// hexadecimal digits, and the number of records in each window.
func fileContents(t *testing.T, dir string) (lines []string, records map[resumetoken.Window]int) {
	t.Helper()
	opened, err := store.Open(filepath.Join(dir, "ledger.db"), Schema, store.Options{ReadOnly: true})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = opened.Close() }()
	var list func(path string, bucket *store.Bucket) error
	list = func(path string, bucket *store.Bucket) error {
		return bucket.ForEach(func(key, value []byte) error {
			path := fmt.Sprintf("%s/%x", path, key)
			if value == nil {
				return list(path, bucket.Bucket(key))
			}
			lines = append(lines, fmt.Sprintf("%s %x", path, value))
			return nil
		})
	}
	records = map[resumetoken.Window]int{}
	err = opened.View(func(tx *store.Tx) error {
		err := tx.ForEach(func(name []byte, bucket *store.Bucket) error { return list(string(name), bucket) })
		if err != nil {
			return err
		}
		return ForEachWindow(tx, func(window resumetoken.Window, spent int) { records[window] = spent })
	})
	if err != nil {
		t.Fatal(err)
	}
	return lines, records
}

// A stored file holds what it held, and a file that is written now holds the same.
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

	// With a clock set back by half a minute only the stored mark shows that sweptToken is too
	// old.
	guard, _ := startGuardAt(t, stored, storedTime.Add(-30*time.Second))
	if guard.ID != storedID || !guard.IsDurable || guard.RecordCount() != 3 {
		t.Errorf("guard %x, durable %v, %d records", guard.ID, guard.IsDurable, guard.RecordCount())
	}
	keyRing := storedKeyRing(t)
	for i, token := range storedTokens {
		if verdict := spendStored(t, guard, i); verdict != resumetoken.Granted {
			t.Errorf("token %d by the redemption that had it: %v", i, verdict)
		}
		if verdict := spend(guard, openToken(t, keyRing, token.text), 1); verdict != resumetoken.Spent {
			t.Errorf("token %d by another redemption: %v", i, verdict)
		}
	}
	if verdict := spend(guard, openToken(t, keyRing, sweptToken), 1); verdict != resumetoken.Expired {
		t.Errorf("a token that was swept: %v", verdict)
	}
}
