package resumetoken

import (
	"errors"
	"testing"
	"time"
)

// A key still verifies tokens after a rotation to the next signing key, and already verifies
// them before it starts to sign.
func TestKeyRotation(t *testing.T) {
	first, second := testKey(t, 1, now.Add(-time.Hour)), testKey(t, 2, now.Add(time.Minute))
	both := testRing(t, first, second)
	before, after := mintTestToken(t, both, now), mintTestToken(t, both, now.Add(time.Minute))
	for text, id := range map[string]KeyID{before: 1, after: 2} {
		got, err := Open(both, text)
		if err != nil || got.KeyID != id {
			t.Errorf("opened with key %v, error %v, want key %v", got.KeyID, err, id)
		}
	}
	if _, err := Open(testRing(t, second), before); !errors.Is(err, ErrUnknownKey) {
		t.Errorf("opening a token of a removed key: %v", err)
	}
	if _, err := Mint(testRing(t, second), now, testClaims()); err == nil {
		t.Error("a token was minted by a key that does not sign yet")
	}
	if _, err := NewKeyRing(first, testKey(t, 1, now)); err == nil {
		t.Error("a ring with two keys of the same id was accepted")
	}
}
