package replayguard

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"coralrelay/internal/resumetoken"
)

// newTestKeyRing returns a ring of keys with the ids 1, 2 and so on. The secret of each key is one
// of the given letters, repeated. The last key signs.
func newTestKeyRing(t testing.TB, secrets ...string) *resumetoken.KeyRing {
	t.Helper()
	var keys []*resumetoken.Key
	for i, letter := range secrets {
		secret := []byte(strings.Repeat(letter, resumetoken.SecretSize))
		key, err := resumetoken.NewKey(resumetoken.KeyID(i+1), time.Unix(int64(i), 0), secret)
		if err != nil {
			t.Fatal(err)
		}
		keys = append(keys, key)
	}
	keyRing, err := resumetoken.NewKeyRing(keys...)
	if err != nil {
		t.Fatal(err)
	}
	return keyRing
}

// startGuard opens a guard and runs it until stop is called or the test ends.
func startGuard(t testing.TB, options Options) (guard *Guard, stop context.CancelFunc) {
	t.Helper()
	if options.MaxRecords == 0 {
		options.MaxRecords = 1000
	}
	guard, err := Open(options)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { guard.Run(ctx); close(done) }()
	stop = func() { cancel(); <-done }
	t.Cleanup(stop)
	return guard, stop
}

// testClock is a clock that only moves when advance is called.
type testClock struct{ nanoseconds atomic.Int64 }

func newTestClock() *testClock {
	clock := &testClock{}
	clock.nanoseconds.Store(time.Now().UnixNano())
	return clock
}

func (c *testClock) now() time.Time                 { return time.Unix(0, c.nanoseconds.Load()) }
func (c *testClock) advance(duration time.Duration) { c.nanoseconds.Add(int64(duration)) }

var tokensMinted atomic.Uint64

// mintTestToken returns a token that the guard arbitrates, encoded and decoded. It does not call
// t.Helper, whose cost would be included in the benchmarks.
func mintTestToken(
	t testing.TB, keyRing *resumetoken.KeyRing, guard *Guard, issuedAt time.Time, lifetime time.Duration,
) (string, *resumetoken.Token) {
	number := tokensMinted.Add(1)
	text, err := resumetoken.Mint(keyRing, issuedAt, resumetoken.Claims{
		Issuer:   "n0",
		Arbiter:  "n0",
		GuardID:  guard.ID,
		FlowKey:  "k",
		Group:    "g",
		Position: resumetoken.Position{Epoch: 1, Offset: number},
		Lifetime: lifetime,
		Nonce:    resumetoken.Nonce{byte(number), byte(number >> 8), byte(number >> 16), byte(number >> 24)},
	})
	if err != nil {
		t.Fatal(err)
	}
	return text, openToken(t, keyRing, text)
}

func openToken(t testing.TB, keyRing *resumetoken.KeyRing, text string) *resumetoken.Token {
	token, err := resumetoken.Open(keyRing, text)
	if err != nil {
		t.Fatal(err)
	}
	return &token
}

// spend spends a token for the redemption whose id begins with firstByte, and returns the verdict.
func spend(guard *Guard, token *resumetoken.Token, firstByte byte) resumetoken.Verdict {
	return spendWithID(guard, token, resumetoken.RedemptionID{firstByte})
}

func spendWithID(guard *Guard, token *resumetoken.Token, id resumetoken.RedemptionID) resumetoken.Verdict {
	reply := make(chan resumetoken.Verdict, 1)
	guard.Spend(token, id, func(verdict resumetoken.Verdict) { reply <- verdict })
	return <-reply
}
