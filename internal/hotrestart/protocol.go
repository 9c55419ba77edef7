package hotrestart

import (
	"time"

	"coralrelay/balance"
	"coralrelay/internal/bufconn"
)

const (
	// component is the name of this package in log lines.
	component = "hotrestart"
	// network is the type of the sockets. It preserves message boundaries.
	network = "unixpacket"
	// transferTimeout bounds the transfer of one session, including the wait for its turn.
	// Meanwhile its client is not read, and a line may be delayed by one second at most. The
	// receiver does no other I/O for a transfer, so that one that takes longer is failing.
	transferTimeout = 500 * time.Millisecond
	// maxMessageBytes bounds a message. It holds the unread bytes of both connections, in
	// base64, and the request.
	maxMessageBytes = 8 * bufconn.BufferSize
	// maxServersPerMessage bounds the endpoints in a message of learned state, as the state
	// of all endpoints may exceed maxMessageBytes.
	maxServersPerMessage = 64
	// socketPrefix starts the name of every socket and includes the protocol version.
	// Processes with different versions do not find each other's sockets, so that sessions
	// are migrated instead.
	socketPrefix = "handover2-"
)

// The messages of the protocol besides offers and learned state. Their texts are part of the
// protocol.
const (
	replyPrepared = "prepared"  // receiver: it holds the offered session and waits for the commit
	replyRejected = "not taken" // receiver: it kept nothing of the message
	replyLearned  = "taken"     // receiver: it has applied the learned state
	commitMessage = "commit"    // sender: the offered session belongs to the receiver from now on
)

// learnedStateMessage is a message of learned state. It is sent without descriptors.
type learnedStateMessage struct {
	Learned *balance.LearnedState `json:"Learned"`
}
