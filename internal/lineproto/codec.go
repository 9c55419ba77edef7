package lineproto

import (
	"bytes"
	"strconv"
	"time"

	"coralrelay/internal/proxy"
)

// Codec formats a session's final answers in the line protocol and classifies the lines that are
// relayed.
type Codec struct{}

// Busy returns the answer to a rejected request. It includes retryAfter, the time after which the
// client is asked to retry, in whole milliseconds, if that is at least 1.
func (Codec) Busy(retryAfter time.Duration) string {
	if ms := retryAfter.Milliseconds(); ms > 0 {
		return busyKeyword + " " + strconv.FormatInt(ms, 10)
	}
	return busyKeyword
}

// Failed returns the answer to a failed request. Unlike Busy, it does not promise the client that
// repeating the request is safe.
func (Codec) Failed() string { return Error }

// Move returns the line that asks the client to reconnect.
func (Codec) Move() string { return Move }

// Classify returns the kind of an endpoint's line after UP. The line may include its line ending.
func (Codec) Classify(line []byte) proxy.LineKind {
	line = bytes.TrimRight(line, "\r\n")
	switch {
	case bytes.HasPrefix(line, []byte(loadPrefix)):
		if _, err := parseNumber(string(line[len(loadPrefix):])); err == nil {
			return proxy.LineLoadReport
		}
	case bytes.Equal(line, []byte(Move)):
		return proxy.LineMove
	case bytes.Equal(line, []byte(byeKeyword)), bytes.HasPrefix(line, []byte(byeKeyword+" ")):
		return proxy.LineBye
	}
	return proxy.LineOther
}
