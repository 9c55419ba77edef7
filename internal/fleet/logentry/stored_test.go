package logentry

import (
	"bytes"
	"crypto/ed25519"
	"encoding/json"
	"reflect"
	"testing"

	"coralrelay/internal/fleet/storedtest"
)

// The files in testdata/stored are written by
//
//	go test ./internal/fleet/logentry -run TestStored -update
//
// entries.jsonl is a log with one entry per line; state.json is the state after these entries.

// storedEntry returns entry n of the stored log, which makes change c.
func storedEntry(t *testing.T, n int, c storedChange) Entry {
	body, err := json.Marshal(c.change)
	if err != nil {
		t.Fatal(err)
	}
	e := Entry{Kind: c.kind, ProposedBy: "m1", ProposedAt: 1_700_000_000_000 + int64(n), Reason: "<why>", Body: body}
	if c.signerSeed != 0 {
		private, _, name := storedKey(c.signerSeed)
		e.KeyName = name
		e.Signature = ed25519.Sign(private, e.SignedBytes())
	}
	return e
}

// Guards the stored formats: entries of every kind must be encoded, signed, chained and
// applied as in the stored log, and the stored state must decode to the state that was
// encoded. Every exported field must be set in at least one stored value.
func TestStoredLogAndState(t *testing.T) {
	state, err := NewState(storedGenesis())
	if err != nil {
		t.Fatal(err)
	}
	var log bytes.Buffer
	filled := map[string]bool{}
	for n, c := range storedChanges() {
		e := storedEntry(t, n, c)
		recordSetFields(reflect.ValueOf(e), filled)
		recordSetFields(reflect.ValueOf(c.change), filled)
		line := marshalEntry(t, e)
		log.Write(append(line, '\n'))
		var out Outcome
		if state, out = state.Apply(line); out.Accepted == (c.kind == "settings") {
			t.Errorf("entry %d: %+v", n, out)
		}
	}
	storedtest.AssertFile(t, "entries.jsonl", log.Bytes())
	written, err := json.Marshal(state)
	if err != nil {
		t.Fatal(err)
	}
	stored := storedtest.AssertFile(t, "state.json", written)
	read := &State{}
	if err := UnmarshalStrict(stored, read); err != nil {
		t.Error(err)
	}
	if err := read.AttachGenesis(storedGenesis()); err != nil || !reflect.DeepEqual(read, state) {
		t.Errorf("decoded state %+v, %v; want %+v", read, err, state)
	}
	recordSetFields(reflect.ValueOf(read), filled)
	for field, isFilled := range filled {
		if !isFilled {
			t.Errorf("%s: no stored value has it set", field)
		}
	}
}

// recordSetFields records, for each field reachable from value, whether it was ever non-zero.
func recordSetFields(value reflect.Value, filled map[string]bool) {
	switch value.Kind() {
	case reflect.Pointer:
		if !value.IsNil() {
			recordSetFields(value.Elem(), filled)
		}
	case reflect.Slice:
		for i := range value.Len() {
			recordSetFields(value.Index(i), filled)
		}
	case reflect.Map:
		for _, key := range value.MapKeys() {
			recordSetFields(value.MapIndex(key), filled)
		}
	case reflect.Struct:
		for field, fieldValue := range value.Fields() {
			if field.IsExported() && field.Tag.Get("json") != "-" {
				name := value.Type().String() + "." + field.Name
				filled[name] = filled[name] || !fieldValue.IsZero()
				recordSetFields(fieldValue, filled)
			}
		}
	}
}

// Checks the bytes that a signature covers against a literal, since stored signatures depend
// on them.
func TestStoredSignedBytes(t *testing.T) {
	e := Entry{
		Kind: "zones", ProposedBy: "m1", ProposedAt: 0x0102030405060708, Reason: "<w",
		KeyName: "k", Signature: []byte{9}, Body: json.RawMessage(`{"a": "<"}`)}
	want := "\x00\x00\x00\x12" + "coralrelay-entry-1" + "\x00\x00\x00\x05" + "zones" + "\x00\x00\x00\x02" + "<w" +
		"\x00\x00\x00\x01" + "k" + "\x00\x00\x00\x0e" + `{"a":"\u003c"}` + "\x01\x02\x03\x04\x05\x06\x07\x08"
	if got := string(e.SignedBytes()); got != want {
		t.Errorf("signed bytes %q, want %q", got, want)
	}
}
