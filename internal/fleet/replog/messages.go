package replog

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"

	"coralrelay/internal/fleet/logentry"
)

// connPurpose is what a connection is for: the first byte that the dialing side sends.
type connPurpose byte

// The purposes of a connection.
const (
	purposeRaft         connPurpose = 'R'
	purposeFollow       connPurpose = 'F'
	purposePropose      connPurpose = 'P'
	purposeVoterRequest connPurpose = 'A'
)

// messageKind is the first byte of a message, on all connections but raft's. After it come
// the payload's length, four bytes, big-endian, and the payload.
type messageKind byte

// The kinds of message and their payloads. The letters and the JSON names date from earlier
// names of the types; members of two versions rely on them.
const (
	msgHello          messageKind = 'h' // JSON: hello
	msgRejection      messageKind = 'n' // JSON: rejection
	msgEntry          messageKind = 'e' // an entry: see encodeEntryHeader
	msgState          messageKind = 's' // a whole state: see encodeState
	msgHeartbeat      messageKind = 'b' // JSON: heartbeat
	msgSequence       messageKind = 'c' // a follower's sequence number, eight bytes, big-endian
	msgProposal       messageKind = 'p' // an entry, as JSON
	msgProposalResult messageKind = 'a' // JSON: proposalResult
	msgVoterRequest   messageKind = 'q' // JSON: voterRequest
	msgVoterInfo      messageKind = 'm' // JSON: voterInfo
)

// Sizes in bytes.
const (
	messageHeaderSize = 5 // kind and payload's length
	entryHeaderSize   = 8 + len(logentry.Hash{})

	maxStateSize        = 64 << 20
	maxControlSize      = 64 << 10 // of a JSON payload
	maxEntryMessageSize = entryHeaderSize + logentry.MaxSize
)

// hello is a follower's first message: who it is, and the last entry that it has.
type hello struct {
	Name  string        `json:"name"`
	Addr  string        `json:"addr"`
	Index uint64        `json:"index"`
	Hash  logentry.Hash `json:"hash"`
}

// reasonForked is the Reason of a rejection if the follower's hash chain differs.
const reasonForked = "another chain"

// rejection is the answer to the hello of a follower that is not served.
type rejection struct {
	Reason       string `json:"why"`
	Alternatives []Peer `json:"others,omitempty"` // members that may have capacity
}

// heartbeat says how old the last confirmation of the leader is: see followerClock.
type heartbeat struct {
	Sequence  uint64   `json:"n,omitempty"` // the follower's last number received; 0 if no leader was ever confirmed
	AgeMicros int64    `json:"a"`           // when that number was received; negative for a later confirmation
	Leader    string   `json:"l,omitempty"` // as the sender knows it
	Path      []string `json:"p"`           // members by which it came, from the leader to the sender
}

// proposalResult is the answer to a proposal.
type proposalResult struct {
	Outcome        logentry.Outcome `json:"outcome"`
	Error          string           `json:"fault,omitempty"`  // empty if Outcome counts
	OutcomeUnknown bool             `json:"unknown"`          // the entry may or may not become part of the log
	Leader         string           `json:"leader,omitempty"` // the leader that a member which does not lead knows
}

// voterAction is what a voterRequest asks for.
type voterAction string

// The actions. Readmit and promote are the leader's; see changeMembership.
const (
	actionDescribe voterAction = "who"
	actionReadmit  voterAction = "back" // make a voter that has lost its store a non-voter
	actionPromote  voterAction = "vote" // give it its vote again
)

// voterRequest is what one voter asks of another.
type voterRequest struct {
	Action       voterAction `json:"want"`
	Name         string      `json:"name"`              // of the voter that asks
	AppliedIndex uint64      `json:"applied,omitempty"` // raft's, for actionPromote
}

// voterInfo is the answer to a voterRequest: what a voter knows of its store.
type voterInfo struct {
	StoreID         string   `json:"id,omitempty"`       // empty if none is open
	Bootstrapped    bool     `json:"founded,omitempty"`  // the store is not blank
	BootstrapStores storeIDs `json:"founders,omitempty"` // with which the fleet was bootstrapped
	Index           uint64   `json:"index"`              // of the state that it knows
	Error           string   `json:"fault,omitempty"`    // why the action was not taken
}

// writeMessage writes a message, its payload in parts, at once.
func writeMessage(writer io.Writer, kind messageKind, parts ...[]byte) error {
	size := 0
	for _, part := range parts {
		size += len(part)
	}
	message := make([]byte, 0, messageHeaderSize+size)
	message = append(message, byte(kind))
	message = binary.BigEndian.AppendUint32(message, uint32(size))
	for _, part := range parts {
		message = append(message, part...)
	}
	_, err := writer.Write(message)
	return err
}

// writeJSON writes a message with a JSON payload.
func writeJSON(writer io.Writer, kind messageKind, value any) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return writeMessage(writer, kind, encoded)
}

// readMessage reads one message. It is an error if the payload is longer than maxSize.
func readMessage(reader io.Reader, maxSize int) (kind messageKind, payload []byte, err error) {
	var header [messageHeaderSize]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return 0, nil, err
	}
	kind = messageKind(header[0])
	size := binary.BigEndian.Uint32(header[1:])
	if uint64(size) > uint64(maxSize) {
		return 0, nil, fmt.Errorf("message %q of %d bytes, at most %d are accepted", kind, size, maxSize)
	}
	payload = make([]byte, size)
	_, err = io.ReadFull(reader, payload)
	return kind, payload, err
}

// readJSON reads a message of that kind with a JSON payload.
func readJSON(reader io.Reader, want messageKind, value any) error {
	kind, payload, err := readMessage(reader, maxControlSize)
	if err != nil {
		return err
	}
	if kind != want {
		return fmt.Errorf("message %q, want %q", kind, want)
	}
	return json.Unmarshal(payload, value)
}

// encodeEntryHeader returns the head of msgEntry's payload: the entry's index, eight bytes,
// big-endian, and the chain's hash with it. The entry follows.
func encodeEntryHeader(entry *committedEntry) []byte {
	header := make([]byte, 0, entryHeaderSize)
	header = binary.BigEndian.AppendUint64(header, entry.index)
	return append(header, entry.hash[:]...)
}

// decodeEntry reads msgEntry's payload. The entry shares its memory.
func decodeEntry(payload []byte) (committedEntry, error) {
	if len(payload) < entryHeaderSize {
		return committedEntry{}, fmt.Errorf("an entry of %d bytes", len(payload))
	}
	return committedEntry{
		index: binary.BigEndian.Uint64(payload),
		hash:  logentry.Hash(payload[8:entryHeaderSize]),
		raw:   payload[entryHeaderSize:],
	}, nil
}
