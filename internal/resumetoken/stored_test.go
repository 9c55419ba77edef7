package resumetoken

import (
	"encoding/hex"
	"flag"
	"os"
	"strings"
	"testing"
	"time"
)

// testdata/stored/token.txt was made by
//
//	go test ./internal/resumetoken -run TestStoredToken -update
var update = flag.Bool("update", false, "rewrite testdata/stored")

const storedPath = "testdata/stored/token.txt"

// A stored token is read to every value it was minted from, and minted again from them it
// is the same text.
func TestStoredToken(t *testing.T) {
	key, err := NewKey(0x0a1b2c3d, time.UnixMilli(1_700_000_000_000), []byte("0123456789abcdefghijklmnopqrstuv"))
	if err != nil {
		t.Fatal(err)
	}
	ring := testRing(t, key)
	issued := time.UnixMilli(1_800_000_004_567)
	text, err := Mint(ring, issued, Claims{
		Issuer:   "issuer-1",
		Arbiter:  "arbiter-22",
		GuardID:  GuardID{0x11, 0x12, 0x13, 0x14, 0x15, 0x16, 0x17, 0x18},
		Position: Position{Epoch: 0xc0ffee0123456789, Offset: 9_876_543_210},
		FlowKey:  "flow-key-7",
		Group:    "group-3",
		Lifetime: 61_234 * time.Millisecond,
		Nonce:    Nonce([]byte("NONCE-0123456789")),
	})
	if err != nil {
		t.Fatal(err)
	}
	if *update {
		if err := os.WriteFile(storedPath, []byte(text+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	line, err := os.ReadFile(storedPath)
	if err != nil {
		t.Fatal(err)
	}
	stored := strings.TrimSuffix(string(line), "\n")
	if text != stored {
		t.Errorf("minted %s, stored %s", text, stored)
	}
	bind, err := hex.DecodeString("dbf4c6d3ab4adeaeb75af867a3b26f59")
	if err != nil {
		t.Fatal(err)
	}
	want := Token{
		KeyID:     0x0a1b2c3d,
		Issuer:    "issuer-1",
		Arbiter:   "arbiter-22",
		GuardID:   GuardID{0x11, 0x12, 0x13, 0x14, 0x15, 0x16, 0x17, 0x18},
		Position:  Position{Epoch: 0xc0ffee0123456789, Offset: 9_876_543_210},
		Binding:   Binding(bind),
		IssuedAt:  issued,
		ExpiresAt: time.UnixMilli(1_800_000_065_801),
		Nonce:     Nonce([]byte("NONCE-0123456789")),
	}
	got, err := Open(ring, stored)
	if err != nil || got != want {
		t.Fatalf("read %+v, want %+v: %v", got, want, err)
	}
	if err := got.VerifyClient(ring, "flow-key-7", "group-3"); err != nil {
		t.Errorf("its client's: %v", err)
	}
	if err := got.VerifyTime(issued, 0, 0); err != nil {
		t.Errorf("at its time: %v", err)
	}
}

func TestTextEncodings(t *testing.T) {
	position := Position{Epoch: 0xc0ffee0123456789, Offset: 9_876_543_210}
	if text := position.String(); text != "c0ffee0123456789:9876543210" {
		t.Errorf("position is written %q", text)
	}
	if got, err := ParsePosition("c0ffee0123456789:9876543210"); err != nil || got != position {
		t.Errorf("position is read as %+v: %v", got, err)
	}
	if text := KeyID(0x0a1b2c3d).String(); text != "0a1b2c3d" {
		t.Errorf("key's id is written %q", text)
	}
	names := map[Verdict]string{
		Granted:            "granted",
		Spent:              "spent",
		Expired:            "expired",
		NotYetValid:        "future",
		WrongGuard:         "foreign",
		GuardFull:          "full",
		GuardUnavailable:   "broken",
		Invalid:            "forged",
		WrongClient:        "stranger",
		ArbiterUnreachable: "unreachable",
	}
	if len(names) != len(verdictNames) {
		t.Errorf("%d verdicts, want %d", len(verdictNames), len(names))
	}
	for verdict, name := range names {
		if got, ok := ParseVerdict(name); verdict.String() != name || !ok || got != verdict {
			t.Errorf("%s: written %q, read as %v", name, verdict.String(), got)
		}
	}
}
