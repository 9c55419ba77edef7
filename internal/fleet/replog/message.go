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

func writeMessage(w io.Writer, kind byte, parts ...[]byte) error {
	size := 0
	for _, p := range parts {
		size += len(p)
	}
	b := make([]byte, 0, 5+size)
	b = binary.BigEndian.AppendUint32(append(b, kind), uint32(size))
	for _, p := range parts {
		b = append(b, p...)
	}
	_, err := w.Write(b)
	return err
}

func writeJSON(w io.Writer, kind byte, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return writeMessage(w, kind, b)
}

// hear reads one message of at most so many bytes.
func readMessage(r io.Reader, most int) (kind byte, text []byte, err error) {
	var head [5]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, nil, err
	}
	size := binary.BigEndian.Uint32(head[1:])
	if uint64(size) > uint64(most) {
		return 0, nil, fmt.Errorf("message %q of %d bytes, at most %d are taken", head[0], size, most)
	}
	text = make([]byte, size)
	_, err = io.ReadFull(r, text)
	return head[0], text, err
}

// hearJSON reads a message of that kind.
func readJSON(r io.Reader, want byte, v any) error {
	kind, text, err := readMessage(r, maxControlSize)
	if err != nil {
		return err
	}
	if kind != want {
		return fmt.Errorf("message %q, want %q", kind, want)
	}
	return json.Unmarshal(text, v)
}
