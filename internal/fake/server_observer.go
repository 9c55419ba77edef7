package fake

import "time"

// Opened is a first line as a server saw it.
type Opened struct {
	Server, Node, Key string
	At                time.Time
}

// Started is the start of a stream as a server saw it.
type Started struct {
	Server, Node, Key, Group string
	Nonce                    string // of the token that was honoured; empty for none
	Resumed                  bool   // else a snapshot was sent
	Bytes                    int    // sent to catch up
	Snapshot                 int    // the size in bytes that a snapshot would have had
}

// ServerObserver is notified of what servers see.
type ServerObserver interface {
	// Opened reports a first line.
	Opened(o Opened)
	// Started reports the start of a stream.
	Started(s Started)
}
