package hotrestart

import (
	"time"

	"coralrelay/balance"
	"coralrelay/internal/bufconn"
)

const (
	// component names this package in the log.
	component = "hotrestart"
	// network is that of the sockets: it keeps the borders of messages.
	network = "unixpacket"
	// transferTimeout is how long one session may take, the wait for its turn included:
	// its client is not read meanwhile, and a line may be held back for a second. The other
	// side does no I/O of its own; one that takes longer is about to fail.
	transferTimeout = 500 * time.Millisecond
	// maxMessageBytes bounds a message: the bytes that were read and not used, of both
	// connections, in base64, and the request.
	maxMessageBytes = 8 * bufconn.BufferSize
	// maxServersPerMessage bounds the endpoints in a message of learned state: there may be
	// more of them than fit into one.
	maxServersPerMessage = 64
	// socketPrefix stands before a socket's name and is the version of the protocol:
	// processes of two versions don't find each other, and sessions are migrated instead.
	socketPrefix = "handover2-"
)

// The messages of the protocol besides offers and learned state. Their words are on the wire.
const (
	replyPrepared = "prepared"  // the receiver holds the offered session
	replyRejected = "not taken" // the receiver has none of what was sent
	replyLearned  = "taken"     // the receiver has used the learned state
	commitMessage = "commit"    // the sender's: the offered session is the receiver's from now on
)

// learnedStateMessage is a message without connections.
type learnedStateMessage struct {
	Learned *balance.LearnedState `json:"Learned"`
}
