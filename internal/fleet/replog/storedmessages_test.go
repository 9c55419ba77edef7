package replog

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"reflect"
	"strconv"
	"testing"

	"coralrelay/internal/fleet/logentry"
	"coralrelay/internal/fleet/storedtest"
)

// storedHash returns a hash in which all bytes differ.
func storedHash() (h logentry.Hash) {
	for i := range h {
		h[i] = byte(i + 1)
	}
	return h
}

// storedMessage is a message with a JSON payload.
type storedMessage struct {
	kind  messageKind
	value any
}

func storedJSONMessages() []storedMessage {
	alternatives := []Peer{{Name: "m2", Addr: "127.0.0.1:7002", Index: 259}}
	outcome := logentry.Outcome{Index: 262, Accepted: true, Reason: "reason"}
	return []storedMessage{
		{msgHello, &hello{Name: "m1", Addr: "127.0.0.1:7001", Index: 258, Hash: storedHash()}},
		{msgRejection, &rejection{Reason: reasonForked, Alternatives: alternatives}},
		{msgHeartbeat, &heartbeat{Sequence: 260, AgeMicros: -261, Leader: "v0", Path: []string{"v0", "m2"}}},
		{msgProposalResult, &proposalResult{Outcome: outcome, Error: "fault", OutcomeUnknown: true, Leader: "v1"}},
		{msgVoterRequest, &voterRequest{Action: actionDescribe, Name: "v0", AppliedIndex: 263}},
		{msgVoterRequest, &voterRequest{Action: actionReadmit, Name: "v1", AppliedIndex: 264}},
		{msgVoterRequest, &voterRequest{Action: actionPromote, Name: "v2", AppliedIndex: 265}},
		{msgVoterInfo, &voterInfo{
			StoreID: "0011223344556677", Bootstrapped: true, BootstrapStores: storeIDs{"v0": "8899aabbccddeeff"},
			Index: 266, Error: "fault"}},
	}
}

// Guards the format of messages: each kind must be encoded as the stored message, and the
// stored message must decode to the same value.
func TestStoredMessages(t *testing.T) {
	var written bytes.Buffer
	writeLine := func(message []byte) { written.WriteString(strconv.Quote(string(message)) + "\n") }
	messages := storedJSONMessages()
	for _, m := range messages {
		var message bytes.Buffer
		if err := writeJSON(&message, m.kind, m.value); err != nil {
			t.Fatal(err)
		}
		writeLine(message.Bytes())
		for field, value := range reflect.ValueOf(m.value).Elem().Fields() {
			if value.IsZero() {
				t.Errorf("%T.%s: no stored value has it set", m.value, field.Name)
			}
		}
	}
	entry := []byte(`{"kind":"settings","by":"m1","at":1,"body":{}}`)
	writeLine(plaintextOf(t, func(c *sealedConn) error { return writeMessage(c, msgProposal, entry) }))
	writeLine(plaintextOf(t, func(c *sealedConn) error {
		return writeMessage(c, msgSequence, binary.BigEndian.AppendUint64(nil, 2))
	}))
	upstream := newBareReplica(t, "up")
	next, _ := upstream.View().State.Apply(entry)
	upstream.publisher.publishState(next, entry)
	writeLine(plaintextOf(t, func(c *sealedConn) error {
		_, err := upstream.sendEntriesAfter(c, 0)
		return err
	}))
	writeLine([]byte{byte(purposeRaft), byte(purposeFollow), byte(purposePropose), byte(purposeVoterRequest)})

	stored := storedtest.AssertFile(t, "messages.txt", written.Bytes())
	received := storedFrames(t, stored)
	for i, m := range messages {
		read := reflect.New(reflect.TypeOf(m.value).Elem()).Interface()
		if err := readJSON(received[i], m.kind, read); err != nil || !reflect.DeepEqual(read, m.value) {
			t.Errorf("read as %+v, %v; want %+v", read, err, m.value)
		}
	}
	assertBinaryMessagesRead(t, received[len(messages):], entry, next.Hash)
}

// assertBinaryMessagesRead checks that a proposal, a sequence number and an entry are read
// correctly, the last two by the functions that receive them.
func assertBinaryMessagesRead(t *testing.T, received []io.Reader, entry []byte, hash logentry.Hash) {
	t.Helper()
	kind, payload, err := readMessage(received[0], maxEntryMessageSize)
	if err != nil || kind != msgProposal || !bytes.Equal(payload, entry) {
		t.Errorf("proposal is read as %q %q, %v", kind, payload, err)
	}
	if err := (&upstreamClock{lastSequence: 1, acknowledged: true}).readSequence(received[1]); err != nil {
		t.Errorf("sequence number: %v", err)
	}
	follower := newBareReplica(t, "down")
	kind, payload, err = readMessage(received[2], maxEntryMessageSize)
	if err == nil {
		err = follower.applyEntry(payload)
	}
	if s := follower.View().State; err != nil || kind != msgEntry || s.Index != 1 || s.Hash != hash {
		t.Errorf("entry is read as %q, %v; state at index %d", kind, err, s.Index)
	}
}

// Guards the format of msgState: a complete state must be sent as its encoding in a message, and
// the receiver must accept it.
func TestStoredStateMessage(t *testing.T) {
	s, sealed := storedState(t)
	upstream, follower := newBareReplica(t, "up"), newBareReplica(t, "down")
	follower.options.Genesis = s.Genesis
	upstream.publisher.publishState(s, nil)
	frame := plaintextOf(t, func(c *sealedConn) error {
		_, err := upstream.sendEntriesAfter(c, 0)
		return err
	})
	want := append(binary.BigEndian.AppendUint32([]byte("s"), uint32(len(sealed))), sealed...)
	if !bytes.Equal(frame, want) {
		t.Errorf("encoded now: %q, want %q", frame, want)
	}
	_, text, err := readMessage(bytes.NewReader(frame), maxStateSize)
	if err == nil {
		err = follower.applyState(text)
	}
	if got := follower.View().State; err != nil || !reflect.DeepEqual(got, s) {
		t.Errorf("decoded state %+v, %v; want %+v", got, err, s)
	}
}

// plaintextOf returns the data that write writes to a connection, as read at its other end.
func plaintextOf(t *testing.T, write func(*sealedConn) error) []byte {
	t.Helper()
	dialed, accepted := connectedPair(t, testKey, testKey, unwrapped)
	defer func() { _ = accepted.Close() }()
	failed := make(chan error, 1)
	go func() { failed <- errors.Join(write(dialed), dialed.Close()) }()
	plain, err := io.ReadAll(accepted)
	if err := errors.Join(err, <-failed); err != nil {
		t.Fatal(err)
	}
	return plain
}

// storedFrames returns a reader for each stored message; stored has one message per line.
func storedFrames(t *testing.T, stored []byte) (all []io.Reader) {
	t.Helper()
	for quoted := range bytes.Lines(stored) {
		frame, err := strconv.Unquote(string(bytes.TrimSpace(quoted)))
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, bytes.NewReader([]byte(frame)))
	}
	return all
}
