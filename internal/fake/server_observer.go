package fake

import "time"

// Opened is a first line that a server received.
type Opened struct {
	Server, Node, Key string
	At                time.Time
}

// Started is the start of a stream that a server sent.
type Started struct {
	Server, Node, Key, Group string
	Nonce                    string // nonce of the token in the START line; empty if there is none
	Resumed                  bool   // if false, a snapshot was sent
	Bytes                    int    // number of bytes sent to bring the client up to date
	Snapshot                 int    // size in bytes that a snapshot had or would have had
}

// ServerObserver receives the events that servers observe.
type ServerObserver interface {
	// Opened reports a first line.
	Opened(line Opened)
	// Started reports the start of a stream.
	Started(start Started)
}
