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

// zonesEntry returns an encoded entry that is accepted at a version of the zones.
func zonesEntry(t *testing.T, baseVersion uint64, shed float64) []byte {
	body, _ := json.Marshal(zonestatus.Change{BaseVersion: baseVersion, Zones: []string{"a", "b"}, Shed: shed})
	return marshalEntry(t, Entry{Kind: KindZones, ProposedBy: "m1", Body: body})
}

// Applying the same entries must yield the same state and hash, also when a state was encoded
// as JSON and decoded in between. A different entry or order must change all later hashes.
func TestHashChainCoversEveryEntryInOrder(t *testing.T) {
	start, err := NewState(Genesis{})
	if err != nil {
		t.Fatal(err)
	}
	otherGenesis := Genesis{RootKey: make([]byte, ed25519.PublicKeySize)}
	entries := [][]byte{zonesEntry(t, 0, 0.25), []byte("no JSON"), zonesEntry(t, 1, 0.5)}
	accepted := []bool{true, false, true}
	s, hashes := start, map[Hash]bool{start.Hash: true}
	for i, e := range entries {
		before := *s
		next, out := s.Apply(e)
		if !reflect.DeepEqual(before, *s) {
			t.Errorf("entry %d modified the previous state in place", i)
		}
		if out.Index != uint64(i+1) || next.Index != out.Index {
			t.Errorf("entry %d: %+v, state at %d", i, out, next.Index)
		}
		if out.Accepted != accepted[i] || out.Accepted != (out.Reason == "") {
			t.Errorf("entry %d: %+v", i, out)
		}
		if !accepted[i] && !reflect.DeepEqual(next.Zones, s.Zones) {
			t.Errorf("entry %d was not accepted but changed the zones", i)
		}
		if hashes[next.Hash] {
			t.Errorf("entry %d: hash equals an earlier one", i)
		}
		hashes[next.Hash] = true
		text, err := json.Marshal(next)
		if err != nil {
			t.Fatal(err)
		}
		s = &State{}
		if err := UnmarshalStrict(text, s); err != nil || !reflect.DeepEqual(s, next) {
			t.Fatalf("decoded state %+v, %v; want %+v", s, err, next)
		}
		if err := s.AttachGenesis(Genesis{}); err != nil {
			t.Errorf("AttachGenesis with the same genesis: %v", err)
		}
		if err := s.AttachGenesis(otherGenesis); !errors.Is(err, ErrGenesisMismatch) {
			t.Errorf("AttachGenesis with another genesis: %v", err)
		}
	}
	other := start
	for _, i := range []int{1, 0, 2} {
		other, _ = other.Apply(entries[i])
	}
	if other.Hash == s.Hash || !reflect.DeepEqual(other.Zones, s.Zones) {
		t.Error("the order of the entries does not change the hash, or changes the zones")
	}
	if otherStart, _ := NewState(otherGenesis); otherStart.Hash == start.Hash {
		t.Error("states with different genesis have the same hash")
	}
}

func TestRejectsInvalidEntries(t *testing.T) {
	s, err := NewState(Genesis{})
	if err != nil {
		t.Fatal(err)
	}
	for text, wantReason := range map[string]string{
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
		if err == nil || !strings.Contains(err.Error(), wantReason) {
			t.Errorf("%.60s: %v, want %q", text, err, wantReason)
		} else if out.Accepted || out.Reason != err.Error() || next.Index != 1 {
			t.Errorf("%.60s: %v, %+v; want %q", text, err, out, wantReason)
		}
	}
	if _, err := NewState(Genesis{RootKey: []byte("short")}); err == nil {
		t.Error("NewState accepted a root key of 5 bytes")
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
	signed := Entry{
		Kind: KindAccounts, ProposedBy: "m1", ProposedAt: 5, Reason: "a <new> partner", KeyName: account.KeyName(public),
		Body: []byte(`{"base": 0, "ops": [{"do": "found", "path": "acme", "node": {"limits": {}}}]}`)}
	signed.Signature = ed25519.Sign(private, signed.SignedBytes())
	reproposed := signed
	reproposed.ProposedBy = "m2"
	for _, e := range []Entry{signed, reproposed} {
		if next, out := s.Apply(marshalEntry(t, e)); !out.Accepted || next.Accounts.Nodes["acme"] == nil {
			t.Errorf("by %s: %+v", e.ProposedBy, out)
		}
	}
	for field, edit := range map[string]func(*Entry){
		"at":   func(e *Entry) { e.ProposedAt++ },
		"why":  func(e *Entry) { e.Reason = "" },
		"kind": func(e *Entry) { e.Kind = KindContracts },
		"body": func(e *Entry) { e.Body = []byte(strings.Replace(string(e.Body), "acme", "evil", 1)) },
		"sig":  func(e *Entry) { e.Signature = nil },
	} {
		e := signed
		edit(&e)
		err := s.Check(marshalEntry(t, e))
		if err == nil || !strings.Contains(err.Error(), "the signature is not good") {
			t.Errorf("%s changed: %v", field, err)
		}
	}
	// Changes that members decide from their observations are rejected if they are signed.
	memberDecisions := map[Kind]string{
		KindZones:     `{"base":0,"set":[],"over":0.5,"zones":["a"]}`,
		KindContracts: `{"steer":[{"contract":"c","shares":{}}]}`,
	}
	for kind, body := range memberDecisions {
		e := Entry{Kind: kind, KeyName: signed.KeyName, Body: []byte(body)}
		e.Signature = ed25519.Sign(private, e.SignedBytes())
		if err := s.Check(marshalEntry(t, e)); !errors.Is(err, errMemberDecision) {
			t.Errorf("%s, signed: %v", kind, err)
		}
	}
	// A signature is valid for a body with spaces, or with characters that JSON escapes.
	body, _ := json.Marshal(account.Change{Ops: []account.Op{{Kind: account.CreateAccount, Path: "<&>"}}})
	unescaped := strings.ReplaceAll(string(body), `\u003c`, "<")
	entry := Entry{Kind: KindAccounts, KeyName: account.KeyName(public), Body: []byte(unescaped)}
	entry.Signature = ed25519.Sign(private, entry.SignedBytes())
	if err := s.Check(marshalEntry(t, entry)); err == nil || strings.Contains(err.Error(), "signature") {
		t.Errorf("signed entry with unescaped characters and an invalid path: %v", err)
	}
}
