package resumetoken

import (
	"errors"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestTokenRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ring, err := NewKeyRing(drawKey(t))
		if err != nil {
			t.Fatal(err)
		}
		claims := drawClaims(t)
		text, err := Mint(ring, now, claims)
		if err != nil {
			t.Fatal(err)
		}
		if len(text) > MaxEncodedLength || strings.ContainsAny(text, ", =\r\n") {
			t.Fatalf("token of %d bytes: %q", len(text), text)
		}
		got, err := Open(ring, text)
		if err != nil {
			t.Fatal(err)
		}
		want := got // the fields that are not claims are checked below
		want.Issuer, want.Arbiter = claims.Issuer, claims.Arbiter
		want.Position, want.Nonce = claims.Position, claims.Nonce
		isInTime := got.IssuedAt.Equal(now) && got.ExpiresAt.Equal(now.Add(claims.Lifetime))
		if got != want || !isInTime || got.VerifyClient(ring, claims.FlowKey, claims.Group) != nil {
			t.Fatalf("opened %+v, minted from %+v", got, claims)
		}
		if other := claims.FlowKey + "x"; got.VerifyClient(ring, other, claims.Group) == nil {
			t.Fatal("the token was accepted for another client")
		}
	})
}

func drawKey(t *rapid.T) *Key {
	id := KeyID(rapid.Uint32().Draw(t, "id"))
	key, err := NewKey(id, now, rapid.SliceOfN(rapid.Byte(), SecretSize, SecretSize).Draw(t, "secret"))
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func drawClaims(t *rapid.T) Claims {
	name := rapid.StringN(1, -1, MaxNameLength)
	lifetime := rapid.Int64Range(1, MaxLifetime.Milliseconds())
	return Claims{
		Issuer:   name.Draw(t, "issuer"),
		Arbiter:  name.Draw(t, "arbiter"),
		Position: Position{rapid.Uint64().Draw(t, "epoch"), rapid.Uint64().Draw(t, "offset")},
		FlowKey:  rapid.String().Draw(t, "key"),
		Group:    rapid.String().Draw(t, "group"),
		Lifetime: time.Duration(lifetime.Draw(t, "lifetime")) * time.Millisecond,
		Nonce:    Nonce(rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "nonce")),
	}
}

// A token is rejected if any of its characters is changed or if it is truncated.
func TestRejectsModifiedTokens(t *testing.T) {
	ring := testRing(t)
	text := mintTestToken(t, ring, now)
	for i := range len(text) {
		for _, character := range []byte{'A', '_', 'z', '=', ' '} {
			if character == text[i] {
				continue
			}
			if _, err := Open(ring, text[:i]+string(character)+text[i+1:]); err == nil {
				t.Fatalf("a token with character %d changed to %q was accepted", i, character)
			}
		}
		if _, err := Open(ring, text[:i]); err == nil {
			t.Fatalf("a token truncated to %d bytes was accepted", i)
		}
	}
	for name, test := range map[string]struct {
		text string
		want error
	}{
		"future version": {"Ag" + text[2:], ErrUnsupportedVersion},
		"unknown key":    {mintTestToken(t, testRing(t, testKey(t, 5, now)), now), ErrUnknownKey},
		"endless":        {strings.Repeat("A", 5000), ErrMalformed},
		"empty":          {"", ErrMalformed},
	} {
		if _, err := Open(ring, test.text); !errors.Is(err, test.want) {
			t.Errorf("%s: %v, want %v", name, err, test.want)
		}
	}
	other, err := NewKey(1, now, []byte(strings.Repeat("x", SecretSize)))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Open(testRing(t, other), text); !errors.Is(err, ErrBadMAC) {
		t.Errorf("token of a key with the same id and another secret: %v", err)
	}
}

func FuzzOpen(f *testing.F) {
	ring := testRing(f)
	text := mintTestToken(f, ring, now)
	for _, seed := range []string{text, text[:40], "Ag" + text[2:], "", "====", strings.Repeat("A", 300)} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, s string) {
		got, err := Open(ring, s)
		if err == nil && s != text {
			t.Errorf("%q was opened as %+v but was never minted", s, got)
		}
	})
}

func BenchmarkMint(b *testing.B) {
	ring := testRing(b)
	b.ReportAllocs()
	for b.Loop() {
		mintTestToken(b, ring, now)
	}
}

func BenchmarkOpen(b *testing.B) {
	ring := testRing(b)
	good := mintTestToken(b, ring, now)
	for name, text := range map[string]string{
		"good":   good,
		"forged": good[:len(good)-4] + "AAAA",
		"noise":  "not a token at all",
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				token, err := Open(ring, text)
				if err == nil {
					err = token.VerifyClient(ring, "k7", "g1")
				}
				if (err == nil) != (name == "good") {
					b.Fatal(err)
				}
			}
		})
	}
}
