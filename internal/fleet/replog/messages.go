package replog

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"

	"coralrelay/internal/fleet/logentry"
)

// connPurpose is the use of a connection: the first byte that the dialing side sends.
type connPurpose byte

// The purposes of a connection.
const (
	purposeRaft         connPurpose = 'R'
	purposeFollow       connPurpose = 'F'
	purposePropose      connPurpose = 'P'
	purposeVoterRequest connPurpose = 'A'
)

// messageKind is the first byte of a message, on all connections except raft's. It is followed
// by the payload's length (four bytes, big-endian) and the payload.
type messageKind byte

// The kinds of message and their payloads. The letters and the JSON names derive from former
// type names; they must not change, since members of different versions exchange them.
const (
	msgHello          messageKind = 'h' // JSON: hello
	msgRejection      messageKind = 'n' // JSON: rejection
	msgEntry          messageKind = 'e' // an entry; see encodeEntryHeader
	msgState          messageKind = 's' // a complete state; see encodeState
	msgHeartbeat      messageKind = 'b' // JSON: heartbeat
	msgSequence       messageKind = 'c' // a follower's sequence number: eight bytes, big-endian
	msgProposal       messageKind = 'p' // an entry, as JSON
	msgProposalResult messageKind = 'a' // JSON: proposalResult
	msgVoterRequest   messageKind = 'q' // JSON: voterRequest
	msgVoterInfo      messageKind = 'm' // JSON: voterInfo
)

// Sizes in bytes.
const (
	messageHeaderSize = 5 // the kind and the payload's length
	entryHeaderSize   = 8 + len(logentry.Hash{})

	initialPayloadSize  = 64 << 10 // of the buffer for a payload, which grows with what arrives
	maxStateSize        = 64 << 20
	maxControlSize      = 64 << 10 // of a JSON payload
	maxEntryMessageSize = entryHeaderSize + logentry.MaxSize
)

// hello is a follower's first message: its name and address, and the last entry that it has.
type hello struct {
	Name  string        `json:"name"`
	Addr  string        `json:"addr"`
	Index uint64        `json:"index"`
	Hash  logentry.Hash `json:"hash"`
}

// reasonForked is the Reason for rejecting a follower with a different hash chain.
const reasonForked = "another chain"

// rejection is the answer to the hello of a follower that is not admitted.
type rejection struct {
	Reason       string `json:"why"`
	Alternatives []Peer `json:"others,omitempty"` // members that may have capacity
}

// heartbeat reports the age of the leader's last confirmation; see followerClock.
type heartbeat struct {
	Sequence  uint64   `json:"n,omitempty"` // last number received; 0 if there is no confirmation
	AgeMicros int64    `json:"a"`           // confirmation's age in µs when Sequence came; negative if newer
	Leader    string   `json:"l,omitempty"` // as known to the sender
	Path      []string `json:"p"`           // members that relayed it, from the leader to the sender
}

// proposalResult is the answer to a proposal.
type proposalResult struct {
	Outcome        logentry.Outcome `json:"outcome"`
	Error          string           `json:"fault,omitempty"`  // empty if Outcome is valid
	OutcomeUnknown bool             `json:"unknown"`          // the entry may or may not become part of the log
	Leader         string           `json:"leader,omitempty"` // as known to a member that does not lead
}

// voterAction is the operation that a voterRequest asks for.
type voterAction string

// The actions. Only the leader performs actionReadmit and actionPromote; see changeMembership.
const (
	actionDescribe voterAction = "who"
	actionReadmit  voterAction = "back" // make a voter that has lost its store a non-voter
	actionPromote  voterAction = "vote" // give that voter its vote back
)

// voterRequest is a request from one voter to another.
type voterRequest struct {
	Action       voterAction `json:"want"`
	Name         string      `json:"name"`              // of the requesting voter
	AppliedIndex uint64      `json:"applied,omitempty"` // raft's, for actionPromote
}

// voterInfo is the answer to a voterRequest: the status of the answering voter's store.
type voterInfo struct {
	StoreID         string   `json:"id,omitempty"`       // empty if no store is open
	Bootstrapped    bool     `json:"founded,omitempty"`  // the store is not blank
	BootstrapStores storeIDs `json:"founders,omitempty"` // that the fleet was bootstrapped with
	Index           uint64   `json:"index"`              // of the voter's state
	Error           string   `json:"fault,omitempty"`    // why the action failed; empty on success
}

// writeMessage writes a message in one call to Write. The payload is the concatenation of parts.
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

// readMessage reads one message. It returns an error if the payload is longer than maxSize.
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
	payload, err = readPayload(reader, int(size))
	return kind, payload, err
}

// readPayload reads a payload of the given size. A peer that only announces it takes little memory.
func readPayload(reader io.Reader, size int) ([]byte, error) {
	var payload bytes.Buffer
	payload.Grow(min(size, initialPayloadSize) + bytes.MinRead) // with room in which ReadFrom sees the end
	received, err := payload.ReadFrom(io.LimitReader(reader, int64(size)))
	if err == nil && received < int64(size) {
		err = io.ErrUnexpectedEOF
	}
	return payload.Bytes(), err
}

// readJSON reads a message of kind want and decodes its JSON payload into value.
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

// encodeEntryHeader returns the header of msgEntry's payload: the entry's index (eight bytes,
// big-endian) and the hash of the chain up to and including the entry. The entry follows.
func encodeEntryHeader(entry *committedEntry) []byte {
	header := make([]byte, 0, entryHeaderSize)
	header = binary.BigEndian.AppendUint64(header, entry.index)
	return append(header, entry.hash[:]...)
}

// decodeEntry decodes msgEntry's payload. The result shares memory with payload.
func decodeEntry(payload []byte) (committedEntry, error) {
	if len(payload) < entryHeaderSize {
		return committedEntry{}, fmt.Errorf("entry message too short: %d bytes", len(payload))
	}
	return committedEntry{
		index: binary.BigEndian.Uint64(payload),
		hash:  logentry.Hash(payload[8:entryHeaderSize]),
		raw:   payload[entryHeaderSize:],
	}, nil
}
