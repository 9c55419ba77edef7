package resumetoken

import (
	"errors"
	"testing"
	"time"
)

// A key that is rotated out of signing still verifies, and one that does not sign yet verifies
// already.
func TestKeyRotation(t *testing.T) {
	first, second := testKey(t, 1, now.Add(-time.Hour)), testKey(t, 2, now.Add(time.Minute))
	both := testRing(t, first, second)
	before, after := mintTestToken(t, both, now), mintTestToken(t, both, now.Add(time.Minute))
	for text, id := range map[string]KeyID{before: 1, after: 2} {
		got, err := Open(both, text)
		if err != nil || got.KeyID != id {
			t.Errorf("key %v, %v, want %v", got.KeyID, err, id)
		}
	}
	if _, err := Open(testRing(t, second), before); !errors.Is(err, ErrUnknownKey) {
		t.Errorf("a removed key: %v", err)
	}
	if _, err := Mint(testRing(t, second), now, testClaims()); err == nil {
		t.Error("minted by a key that does not sign yet")
	}
	if _, err := NewKeyRing(first, testKey(t, 1, now)); err == nil {
		t.Error("two keys of one id")
	}
}
