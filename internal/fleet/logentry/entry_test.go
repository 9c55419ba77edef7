package logentry

import (
	"crypto/ed25519"
	"encoding/json"
	"errors"
	"reflect"
	"strings"
	"testing"

	"coralrelay/internal/fleet/account"
	"coralrelay/internal/fleet/zonestatus"
)

func marshalEntry(t *testing.T, entry Entry) []byte {
	t.Helper()
	encoded, err := json.Marshal(&entry)
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

// spillEntry is an entry that is accepted on a version of the zones.
func spillEntry(t *testing.T, baseVersion uint64, shed float64) []byte {
	body, _ := json.Marshal(zonestatus.Change{BaseVersion: baseVersion, Zones: []string{"a", "b"}, Shed: shed})
	return marshalEntry(t, Entry{Kind: KindZones, ProposedBy: "m1", Body: body})
}

// Members that apply the same entries hold the same state and hash, also by way of a state
// that was written as JSON. A different entry or place changes all hashes after it.
func TestHashChainCoversEveryEntryInOrder(t *testing.T) {
	start, err := NewState(Genesis{})
	if err != nil {
		t.Fatal(err)
	}
	otherGenesis := Genesis{RootKey: make([]byte, ed25519.PublicKeySize)}
	entries := [][]byte{spillEntry(t, 0, 0.25), []byte("no JSON"), spillEntry(t, 1, 0.5)}
	accepted := []bool{true, false, true}
	s, hashes := start, map[Hash]bool{start.Hash: true}
	for i, e := range entries {
		before := *s
		next, out := s.Apply(e)
		if !reflect.DeepEqual(before, *s) {
			t.Errorf("entry %d changed the state before it", i)
		}
		if out.Index != uint64(i+1) || next.Index != out.Index {
			t.Errorf("entry %d: %+v, state at %d", i, out, next.Index)
		}
		if out.Accepted != accepted[i] || out.Accepted != (out.Reason == "") {
			t.Errorf("entry %d: %+v", i, out)
		}
		if !accepted[i] && !reflect.DeepEqual(next.Zones, s.Zones) {
			t.Errorf("entry %d was not accepted, but changed something", i)
		}
		if hashes[next.Hash] {
			t.Errorf("entry %d: a hash that was there before", i)
		}
		hashes[next.Hash] = true
		text, err := json.Marshal(next)
		if err != nil {
			t.Fatal(err)
		}
		s = &State{}
		if err := UnmarshalStrict(text, s); err != nil || !reflect.DeepEqual(s, next) {
			t.Fatalf("written down and read: %+v, %v; it was %+v", s, err, next)
		}
		if err := s.AttachGenesis(Genesis{}); err != nil {
			t.Errorf("its own genesis: %v", err)
		}
		if err := s.AttachGenesis(otherGenesis); !errors.Is(err, ErrGenesisMismatch) {
			t.Errorf("another genesis: %v", err)
		}
	}
	other := start
	for _, i := range []int{1, 0, 2} {
		other, _ = other.Apply(entries[i])
	}
	if other.Hash == s.Hash || !reflect.DeepEqual(other.Zones, s.Zones) {
		t.Error("the order does not show in the hash, or does in the zones")
	}
	if elsewhere, _ := NewState(otherGenesis); elsewhere.Hash == start.Hash {
		t.Error("another genesis has the same hash")
	}
}

func TestRejectsInvalidEntries(t *testing.T) {
	s, err := NewState(Genesis{})
	if err != nil {
		t.Fatal(err)
	}
	for text, why := range map[string]string{
		``:                                  "EOF",
		`{"kind":"zones","body":{}} {}`:     "more than one value",
		`{"kind":"zones","x":1,"body":{}}`:  "unknown field",
		`{"kind":"zones","body":{"x":1}}`:   "unknown field",
		`{"kind":"tariffs","body":{}}`:      "unknown kind",
		`{"kind":"settings","body":{}}`:     "no entry of this kind",
		`{"kind":"zones","sig":"AA=="}`:     "a signature, but no key",
		`{"kind":"accounts","key":"who"}`:   "nobody's",
		strings.Repeat(" ", MaxSize) + `{}`: "at most",
	} {
		err := s.Check([]byte(text))
		next, out := s.Apply([]byte(text))
		if err == nil || !strings.Contains(err.Error(), why) {
			t.Errorf("%.60s: %v, want %q", text, err, why)
		} else if out.Accepted || out.Reason != err.Error() || next.Index != 1 {
			t.Errorf("%.60s: %v, %+v; want %q", text, err, out, why)
		}
	}
	if _, err := NewState(Genesis{RootKey: []byte("short")}); err == nil {
		t.Error("a root key of five bytes was accepted")
	}
}

func TestSignatureCoversAllButTheProposer(t *testing.T) {
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		t.Fatal(err)
	}
	s, err := NewState(Genesis{RootKey: public})
	if err != nil {
		t.Fatal(err)
	}
	good := Entry{
		Kind: KindAccounts, ProposedBy: "m1", ProposedAt: 5, Reason: "a <new> partner", KeyName: account.KeyName(public),
		Body: []byte(`{"base": 0, "ops": [{"do": "found", "path": "acme", "node": {"limits": {}}}]}`)}
	good.Signature = ed25519.Sign(private, good.SignedBytes())
	moved := good
	moved.ProposedBy = "m2"
	for _, e := range []Entry{good, moved} {
		if next, out := s.Apply(marshalEntry(t, e)); !out.Accepted || next.Accounts.Nodes["acme"] == nil {
			t.Errorf("by %s: %+v", e.ProposedBy, out)
		}
	}
	for what, edit := range map[string]func(*Entry){
		"at":   func(e *Entry) { e.ProposedAt++ },
		"why":  func(e *Entry) { e.Reason = "" },
		"kind": func(e *Entry) { e.Kind = KindContracts },
		"body": func(e *Entry) { e.Body = []byte(strings.Replace(string(e.Body), "acme", "evil", 1)) },
		"sig":  func(e *Entry) { e.Signature = nil },
	} {
		e := good
		edit(&e)
		err := s.Check(marshalEntry(t, e))
		if err == nil || !strings.Contains(err.Error(), "the signature is not good") {
			t.Errorf("%s changed: %v", what, err)
		}
	}
	// No key changes what members decide by what they observe.
	memberDecisions := map[Kind]string{
		KindZones:     `{"base":0,"set":[],"over":0.5,"zones":["a"]}`,
		KindContracts: `{"steer":[{"contract":"c","shares":{}}]}`,
	}
	for kind, body := range memberDecisions {
		e := Entry{Kind: kind, KeyName: good.KeyName, Body: []byte(body)}
		e.Signature = ed25519.Sign(private, e.SignedBytes())
		if err := s.Check(marshalEntry(t, e)); !errors.Is(err, errMemberDecision) {
			t.Errorf("%s, signed: %v", kind, err)
		}
	}
	// A signature holds for a body with spaces, or with characters that JSON escapes.
	body, _ := json.Marshal(account.Change{Ops: []account.Op{{Kind: account.CreateAccount, Path: "<&>"}}})
	unescaped := strings.ReplaceAll(string(body), `\u003c`, "<")
	odd := Entry{Kind: KindAccounts, KeyName: account.KeyName(public), Body: []byte(unescaped)}
	odd.Signature = ed25519.Sign(private, odd.SignedBytes())
	if err := s.Check(marshalEntry(t, odd)); err == nil || strings.Contains(err.Error(), "signature") {
		t.Errorf("a path that is none: %v", err)
	}
}
