package resumetoken

import (
	"errors"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var now = time.UnixMilli(1_800_000_000_123)

func testKey(t testing.TB, id KeyID, from time.Time) *Key {
	k, err := NewKey(id, from, []byte(strings.Repeat(string(rune('a'+id%20)), SecretSize)))
	if err != nil {
		t.Fatal(err)
	}
	return k
}

func testRing(t testing.TB, keys ...*Key) *KeyRing {
	if len(keys) == 0 {
		keys = []*Key{testKey(t, 1, now.Add(-time.Hour))}
	}
	r, err := NewKeyRing(keys...)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func testClaims() Claims {
	return Claims{Issuer: "n1", Arbiter: "n2", GuardID: GuardID{9}, Position: Position{0xc0, 41}, FlowKey: "k7", Group: "g1",
		Lifetime: time.Minute, Nonce: Nonce{1, 2, 3}}
}

func mintTestToken(t testing.TB, r *KeyRing, at time.Time) string {
	text, err := Mint(r, at, testClaims())
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func TestTokenRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ring, err := NewKeyRing(drawKey(t))
		if err != nil {
			t.Fatal(err)
		}
		name := rapid.StringN(1, -1, MaxNameLength)
		g := Claims{Issuer: name.Draw(t, "issuer"), Arbiter: name.Draw(t, "arbiter"),
			Position: Position{rapid.Uint64().Draw(t, "epoch"), rapid.Uint64().Draw(t, "offset")},
			FlowKey:  rapid.String().Draw(t, "key"), Group: rapid.String().Draw(t, "group"),
			Lifetime: time.Duration(rapid.Int64Range(1, MaxLifetime.Milliseconds()).Draw(t, "life")) * time.Millisecond,
			Nonce:    Nonce(rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "nonce"))}
		text, err := Mint(ring, now, g)
		if err != nil {
			t.Fatal(err)
		}
		if len(text) > MaxEncodedLength || strings.ContainsAny(text, ", =\r\n") {
			t.Fatalf("%d bytes: %q", len(text), text)
		}
		got, err := Open(ring, text)
		if err != nil {
			t.Fatal(err)
		}
		if got.Issuer != g.Issuer || got.Arbiter != g.Arbiter || got.Position != g.Position || got.Nonce != g.Nonce ||
			!got.IssuedAt.Equal(now) || !got.ExpiresAt.Equal(now.Add(g.Lifetime)) || got.VerifyClient(ring, g.FlowKey, g.Group) != nil {
			t.Fatalf("got %+v of %+v", got, g)
		}
		if other := g.FlowKey + "x"; got.VerifyClient(ring, other, g.Group) == nil {
			t.Fatal("it belongs to another client too")
		}
	})
}

func drawKey(t *rapid.T) *Key {
	k, err := NewKey(KeyID(rapid.Uint32().Draw(t, "id")), now, rapid.SliceOfN(rapid.Byte(), SecretSize, SecretSize).Draw(t, "secret"))
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// No bit of a token can be changed, and none left out.
func TestRejectsModifiedTokens(t *testing.T) {
	ring := testRing(t)
	text := mintTestToken(t, ring, now)
	for i := range len(text) {
		for _, c := range []byte{'A', '_', 'z', '=', ' '} {
			if c == text[i] {
				continue
			}
			if _, err := Open(ring, text[:i]+string(c)+text[i+1:]); err == nil {
				t.Fatalf("byte %d may be %q", i, c)
			}
		}
		if _, err := Open(ring, text[:i]); err == nil {
			t.Fatalf("cut to %d bytes it is read", i)
		}
	}
	for name, want := range map[string]struct {
		text string
		err  error
	}{
		"future version": {"Ag" + text[2:], ErrUnsupportedVersion},
		"no such key":    {mintTestToken(t, testRing(t, testKey(t, 5, now)), now), ErrUnknownKey},
		"endless":        {strings.Repeat("A", 5000), ErrMalformed},
		"empty":          {"", ErrMalformed},
	} {
		if _, err := Open(ring, want.text); !errors.Is(err, want.err) {
			t.Errorf("%s: %v, want %v", name, err, want.err)
		}
	}
	other, err := NewKey(1, now, []byte(strings.Repeat("x", SecretSize)))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Open(testRing(t, other), text); !errors.Is(err, ErrBadMAC) {
		t.Errorf("another secret under the same id: %v", err)
	}
}

// A key that is rotated out of signing still verifies, and one that is not yet to
// sign verifies already.
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

func TestBeginRedemption(t *testing.T) {
	ring := testRing(t)
	mine := Presentation{mintTestToken(t, ring, now), "k7", "g1"}
	theirs, spoiled := mine, mine
	theirs.FlowKey = "k8"
	spoiled.Token = spoiled.Token[1:]
	const skew = 5 * time.Second
	for name, c := range map[string]struct {
		p    Presentation
		at   time.Duration
		why  Verdict // 0: the arbiter is asked
		seen bool    // the token proves a position all the same
	}{
		"fresh":                    {mine, 0, 0, false},
		"issuer's clock 2 s ahead": {mine, -2 * time.Second, 0, false},
		"issuer's clock far ahead": {mine, -6 * time.Second, NotYetValid, true},
		"expired by a second":      {mine, 61 * time.Second, 0, false}, // our clock may be ahead: its arbiter says
		"expired beyond doubt":     {mine, 66 * time.Second, Expired, true},
		"another client's":         {theirs, 0, WrongClient, false},
		"cut short":                {spoiled, 0, Invalid, false},
	} {
		_, o, settled := BeginRedemption(ring, now.Add(c.at), c.p, skew)
		if settled != (c.why != 0) || o.Verdict != c.why || o.HasMinPosition != c.seen || o.CanResume {
			t.Errorf("%s: %+v, settled %v", name, o, settled)
		}
	}
	r, _, _ := BeginRedemption(ring, now, mine, skew)
	if o, ok := r.Complete(Granted); !ok || !o.CanResume || o.Position != (Position{0xc0, 41}) || o.Nonce != (Nonce{1, 2, 3}) {
		t.Errorf("granted: %+v, %v", o, ok)
	}
}

func TestArbiterDecides(t *testing.T) {
	ring := testRing(t)
	tok, err := Open(ring, mintTestToken(t, ring, now))
	if err != nil {
		t.Fatal(err)
	}
	me, other := RedemptionID{1}, RedemptionID{2}
	for name, c := range map[string]struct {
		change func(*Arbiter)
		at     time.Duration
		had    *RedemptionID
		want   Verdict
		fresh  bool
	}{
		"first":                          {want: Granted, fresh: true},
		"asked again by the same":        {had: &me, want: Granted},
		"had by another":                 {had: &other, want: Spent},
		"had by another, and expired":    {had: &other, at: 2 * time.Minute, want: Spent},
		"a millisecond before its end":   {at: time.Minute - time.Millisecond, want: Granted, fresh: true},
		"at its end":                     {at: time.Minute, want: Expired},
		"expired by a second":            {at: 61 * time.Second, want: Expired},
		"clock 2 s behind the issuer's":  {at: -2 * time.Second, want: Granted, fresh: true},
		"clock 6 s behind":               {at: -6 * time.Second, want: NotYetValid},
		"another ledger":                 {change: func(a *Arbiter) { a.ID = GuardID{8} }, want: WrongGuard},
		"full":                           {change: func(a *Arbiter) { a.RecordCount = 3 }, want: GuardFull},
		"full, asked again by the same":  {change: func(a *Arbiter) { a.RecordCount = 3 }, had: &me, want: Granted},
		"clock set back behind the mark": {change: func(a *Arbiter) { a.SweptThrough = WindowOf(tok.ExpiresAt) }, at: -time.Hour, want: Expired},
	} {
		a := Arbiter{ID: GuardID{9}, MaxRecords: 3, ClockSkew: 5 * time.Second}
		if c.change != nil {
			c.change(&a)
		}
		v, fresh := a.Decide(now.Add(c.at), &tok, me, func(w Window, n Nonce) (RedemptionID, bool) {
			if c.had == nil || w != WindowOf(tok.ExpiresAt) || n != tok.Nonce {
				return RedemptionID{}, false
			}
			return *c.had, true
		})
		if v != c.want || fresh != c.fresh {
			t.Errorf("%s: %v, fresh %v, want %v, %v", name, v, fresh, c.want, c.fresh)
		}
	}
}

func TestChooseArbiter(t *testing.T) {
	self := Candidate{Name: "n1", IsReady: true, IsDurable: true}
	peers := []Candidate{{Name: "n2", IsReady: true}, {Name: "n3", IsReady: true}, {Name: "n4"}}
	if m, ok := ChooseArbiter(self, false, peers, Nonce{}); !ok || m.Name != "n1" {
		t.Errorf("it stays: %v", m)
	}
	count := map[string]int{}
	for i := range 256 {
		m, _ := ChooseArbiter(self, true, peers, Nonce{byte(i)})
		count[m.Name]++
	}
	if count["n1"]+count["n4"] > 0 || count["n2"] < 64 || count["n3"] < 64 {
		t.Errorf("it leaves: %v", count)
	}
	if m, ok := ChooseArbiter(self, true, nil, Nonce{}); !ok || m.Name != "n1" {
		t.Error("alone, with a ledger that survives, it is still the arbiter")
	}
	self.IsDurable = false
	if _, ok := ChooseArbiter(self, true, nil, Nonce{}); ok {
		t.Error("nobody could arbitrate, and one was named")
	}
	full := Candidate{Name: "n1"}
	if m, ok := ChooseArbiter(full, false, peers, Nonce{}); !ok || m.Name == "n1" {
		t.Errorf("its ledger is full, and %v was named", m.Name)
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
			t.Errorf("%q was read as %+v, and nobody minted it", s, got)
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
	for name, text := range map[string]string{"good": good, "forged": good[:len(good)-4] + "AAAA", "noise": "not a token at all"} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				tok, err := Open(ring, text)
				if err == nil {
					err = tok.VerifyClient(ring, "k7", "g1")
				}
				if (err == nil) != (name == "good") {
					b.Fatal(err)
				}
			}
		})
	}
}
