package proxy

import "time"

// RequestEncoder encodes a request for an upstream.
type RequestEncoder interface {
	// ForwardLine returns the first line to send to an upstream at the time now, without its line
	// ending. The upstream has to answer by the deadline.
	ForwardLine(now, deadline time.Time) string
}

// LineKind is the meaning of an upstream's line after UP.
type LineKind int

// The kinds of an upstream's line.
const (
	LineOther      LineKind = iota // an answer, or any other line that is only relayed
	LineLoadReport                 // LOAD: a load report, which answers no line of the client
	LineMove                       // MOVE: the client has to reconnect
	LineBye                        // BYE: the session was served completely
)

// Codec encodes a session's answers in the client's protocol and classifies the lines of the
// upstream. Its methods must not block. Lines are returned without their line ending.
type Codec interface {
	// Busy returns the line that rejects a request. retryAfter is how long the client is asked to
	// wait before it retries; 0 or less omits it.
	Busy(retryAfter time.Duration) string
	// Failed returns the line that fails a request without a reason.
	Failed() string
	// Move returns the line that asks the client to reconnect.
	Move() string
	// Classify returns the kind of an upstream's line, which may include its line ending.
	Classify(line []byte) LineKind
}
