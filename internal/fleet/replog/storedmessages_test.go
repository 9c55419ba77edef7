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

// storedHash returns a hash whose bytes all differ.
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

// Messages are written and read as the stored ones.
func TestStoredMessages(t *testing.T) {
	var written bytes.Buffer
	line := func(message []byte) { written.WriteString(strconv.Quote(string(message)) + "\n") }
	messages := storedJSONMessages()
	for _, m := range messages {
		var message bytes.Buffer
		if err := writeJSON(&message, m.kind, m.value); err != nil {
			t.Fatal(err)
		}
		line(message.Bytes())
		for field, value := range reflect.ValueOf(m.value).Elem().Fields() {
			if value.IsZero() {
				t.Errorf("%T.%s: no stored value has it set", m.value, field.Name)
			}
		}
	}
	entry := []byte(`{"kind":"settings","by":"m1","at":1,"body":{}}`)
	line(plaintextOf(t, func(c *sealedConn) error { return writeMessage(c, msgProposal, entry) }))
	line(plaintextOf(t, func(c *sealedConn) error {
		return writeMessage(c, msgSequence, binary.BigEndian.AppendUint64(nil, 2))
	}))
	up := newBareReplica(t, "up")
	next, _ := up.View().State.Apply(entry)
	up.publisher.publishState(next, entry)
	line(plaintextOf(t, func(c *sealedConn) error {
		_, err := up.sendEntriesAfter(c, 0)
		return err
	}))
	line([]byte{byte(purposeRaft), byte(purposeFollow), byte(purposePropose), byte(purposeVoterRequest)})

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

// assertBinaryMessagesRead reads a proposal, a sequence number and an entry, the latter two
// as their receivers do.
func assertBinaryMessagesRead(t *testing.T, received []io.Reader, entry []byte, hash logentry.Hash) {
	t.Helper()
	kind, payload, err := readMessage(received[0], maxEntryMessageSize)
	if err != nil || kind != msgProposal || !bytes.Equal(payload, entry) {
		t.Errorf("a proposal is read as %q %q, %v", kind, payload, err)
	}
	if err := (&upstreamClock{lastSequence: 1, acknowledged: true}).readSequence(received[1]); err != nil {
		t.Errorf("a sequence number: %v", err)
	}
	down := newBareReplica(t, "down")
	kind, payload, err = readMessage(received[2], maxEntryMessageSize)
	if err == nil {
		err = down.applyEntry(payload)
	}
	if s := down.View().State; err != nil || kind != msgEntry || s.Index != 1 || s.Hash != hash {
		t.Errorf("an entry is read as %q, %v; the state is at %d", kind, err, s.Index)
	}
}

// A whole state is sent as its encoding in a message, and is accepted.
func TestStoredStateMessage(t *testing.T) {
	s, sealed := storedState(t)
	up, down := newBareReplica(t, "up"), newBareReplica(t, "down")
	down.options.Genesis = s.Genesis
	up.publisher.publishState(s, nil)
	frame := plaintextOf(t, func(c *sealedConn) error {
		_, err := up.sendEntriesAfter(c, 0)
		return err
	})
	want := append(binary.BigEndian.AppendUint32([]byte("s"), uint32(len(sealed))), sealed...)
	if !bytes.Equal(frame, want) {
		t.Errorf("written now: %q, want %q", frame, want)
	}
	_, text, err := readMessage(bytes.NewReader(frame), maxStateSize)
	if err == nil {
		err = down.applyState(text)
	}
	if got := down.View().State; err != nil || !reflect.DeepEqual(got, s) {
		t.Errorf("read as %+v, %v; want %+v", got, err, s)
	}
}

// plaintextOf returns what write writes to a connection, as its other end reads it.
func plaintextOf(t *testing.T, write func(*sealedConn) error) []byte {
	t.Helper()
	dialed, accepted := connectedPair(t, testKey, testKey, unaltered)
	defer func() { _ = accepted.Close() }()
	failed := make(chan error, 1)
	go func() { failed <- errors.Join(write(dialed), dialed.Close()) }()
	plain, err := io.ReadAll(accepted)
	if err := errors.Join(err, <-failed); err != nil {
		t.Fatal(err)
	}
	return plain
}

// storedFrames reads the stored messages, one a line.
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
