package replog

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"

	"coralrelay/internal/fleet/logentry"
)

// What a connection is for: the first byte that the caller says.
const (
	purposeRaft         = 'R'
	purposeFollow       = 'F'
	purposePropose      = 'P'
	purposeVoterRequest = 'A'
)

// Kinds of message after that, on all but raft's connections: a byte, four of length, and
// so much text.
const (
	msgHello          = 'h' // JSON: hello
	msgRejection      = 'n' // JSON: no
	msgEntry          = 'e' // eight bytes of index, the chain's hash after it, the entry
	msgState          = 's' // a whole state: its sum, and JSON
	msgHeartbeat      = 'b' // JSON: beat
	msgSequence       = 'c' // eight bytes, from the follower
	msgProposal       = 'p' // an entry
	msgProposalResult = 'a' // JSON: answer
	msgVoterRequest   = 'q' // JSON: ask
	msgVoterInfo      = 'm' // JSON: mine
)

// Bounds on what is read.
const (
	maxStateSize        = 64 << 20
	maxControlSize      = 64 << 10
	maxEntryMessageSize = logentry.MaxSize + 8 + len(logentry.Hash{})
)

// hello is a follower's first word.
type hello struct {
	Name  string        `json:"name"`
	Addr  string        `json:"addr"`
	Index uint64        `json:"index"`
	Hash  logentry.Hash `json:"hash"`
}

// no turns a follower away.
type rejection struct {
	Reason       string `json:"why"`
	Alternatives []Peer `json:"others,omitempty"` // who may have room
}

// beat says how old the word is that all up to here rests on.
type heartbeat struct {
	Sequence  uint64   `json:"n,omitempty"` // the follower's last that was read; 0 if nothing was ever heard
	AgeMicros int64    `json:"a"`           // microseconds, when that number was read; negative for a word that came later
	Leader    string   `json:"l,omitempty"` // as the server knows it
	Path      []string `json:"p"`           // of the word: from the leader to the server
}

// answer is what became of a proposal.
type proposalResult struct {
	Outcome        logentry.Outcome `json:"outcome"`
	Error          string           `json:"fault,omitempty"`  // empty where Outcome counts
	OutcomeUnknown bool             `json:"unknown"`          // it may or may not become part of the log
	Leader         string           `json:"leader,omitempty"` // of who does not lead: who does, if known
}

func writeMessage(writer io.Writer, kind byte, parts ...[]byte) error {
	size := 0
	for _, part := range parts {
		size += len(part)
	}
	frame := make([]byte, 0, 5+size)
	frame = binary.BigEndian.AppendUint32(append(frame, kind), uint32(size))
	for _, part := range parts {
		frame = append(frame, part...)
	}
	_, err := writer.Write(frame)
	return err
}

func writeJSON(writer io.Writer, kind byte, value any) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return writeMessage(writer, kind, encoded)
}

// hear reads one message of at most so many bytes.
func readMessage(reader io.Reader, maxSize int) (kind byte, payload []byte, err error) {
	var header [5]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return 0, nil, err
	}
	size := binary.BigEndian.Uint32(header[1:])
	if uint64(size) > uint64(maxSize) {
		return 0, nil, fmt.Errorf("message %q of %d bytes, at most %d are taken", header[0], size, maxSize)
	}
	payload = make([]byte, size)
	_, err = io.ReadFull(reader, payload)
	return header[0], payload, err
}

// hearJSON reads a message of that kind.
func readJSON(reader io.Reader, want byte, value any) error {
	kind, payload, err := readMessage(reader, maxControlSize)
	if err != nil {
		return err
	}
	if kind != want {
		return fmt.Errorf("message %q, want %q", kind, want)
	}
	return json.Unmarshal(payload, value)
}
