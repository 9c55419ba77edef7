package resumetoken

import (
	"strings"
	"testing"
	"time"
)

// now is the time at which the tests issue tokens.
var now = time.UnixMilli(1_800_000_000_123)

func testKey(t testing.TB, id KeyID, signingStartsAt time.Time) *Key {
	t.Helper()
	letter := string(rune('a' + id%20))
	key, err := NewKey(id, signingStartsAt, []byte(strings.Repeat(letter, SecretSize)))
	if err != nil {
		t.Fatal(err)
	}
	return key
}

// testRing returns a ring of the given keys, or if there are none, of a key with the id 1 that
// signs.
func testRing(t testing.TB, keys ...*Key) *KeyRing {
	t.Helper()
	if len(keys) == 0 {
		keys = []*Key{testKey(t, 1, now.Add(-time.Hour))}
	}
	ring, err := NewKeyRing(keys...)
	if err != nil {
		t.Fatal(err)
	}
	return ring
}

func testClaims() Claims {
	return Claims{
		Issuer:   "n1",
		Arbiter:  "n2",
		GuardID:  GuardID{9},
		Position: Position{0xc0, 41},
		FlowKey:  "k7",
		Group:    "g1",
		Lifetime: time.Minute,
		Nonce:    Nonce{1, 2, 3},
	}
}

// mintTestToken mints a token of testClaims. It does not call t.Helper, whose cost would be
// included in the benchmarks.
func mintTestToken(t testing.TB, ring *KeyRing, issuedAt time.Time) string {
	text, err := Mint(ring, issuedAt, testClaims())
	if err != nil {
		t.Fatal(err)
	}
	return text
}
