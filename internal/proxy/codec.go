package proxy

import "time"

// RequestEncoder encodes a request for an upstream.
type RequestEncoder interface {
	// ForwardLine returns the first line to send to an upstream at the time now, without
	// its line end. The upstream has to answer by the deadline.
	ForwardLine(now, deadline time.Time) string
}

// LineKind is what an upstream's line after UP means.
type LineKind int

// The kinds of an upstream's line.
const (
	LineOther      LineKind = iota // an answer, or anything else that is only passed on
	LineLoadReport                 // LOAD: a load report, which answers nothing
	LineMove                       // MOVE: the client is to reconnect
	LineBye                        // BYE: the session was served to its end
)

// Codec encodes a session's answers in the client's protocol and classifies the lines of
// the upstream. Its methods return at once; lines are returned without their line end.
type Codec interface {
	// Busy returns the line that rejects a request. retryAfter is how long the client is
	// asked to wait; 0 or less leaves that out.
	Busy(retryAfter time.Duration) string
	// Failed returns the line that fails a request without saying why.
	Failed() string
	// Move returns the line that asks the client to reconnect.
	Move() string
	// Classify returns the kind of an upstream's line, which may have its line end.
	Classify(line []byte) LineKind
}
