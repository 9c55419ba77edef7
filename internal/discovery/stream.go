package discovery

import (
	"io"
	"time"

	"coralrelay/internal/inputlimit"
)

// messageReader reads one byte at a time, and limits the size of a message. If it read more bytes
// at a time, the chunked reader would wait for the rest of a chunk while it already holds a
// complete list.
type messageReader struct {
	peer             string
	body             io.Reader
	remaining        int       // bytes that the message may still have
	inMessage        bool      // the message has begun, so that white space is part of it
	messageStartedAt time.Time // when the first byte of the message arrived
	onFirstByte      func()    // called at the first byte of the first message, and then set to nil
	onHeartbeat      func()    // called at each end of a line between messages
}

// beginMessage must be called before each message is read.
func (r *messageReader) beginMessage() { r.remaining, r.inMessage = maxMessageBytes, false }

// Read reads at most one byte.
func (r *messageReader) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, inputlimit.Exceeded(inputlimit.DiscoveryMessage, r.peer, maxMessageBytes+1, maxMessageBytes)
	}
	n, err := r.body.Read(p[:min(len(p), 1)])
	r.remaining -= n
	if n > 0 && !r.inMessage {
		r.observeByte(p[0])
	}
	return n, err
}

// observeByte handles a byte between two messages, or the first byte of a message.
func (r *messageReader) observeByte(char byte) {
	switch {
	case char > ' ':
		r.inMessage, r.messageStartedAt = true, time.Now()
		if r.onFirstByte != nil {
			r.onFirstByte()
			r.onFirstByte = nil
		}
	case char == '\n':
		r.onHeartbeat()
	}
}
