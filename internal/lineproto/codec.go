package lineproto

import (
	"bytes"
	"strconv"
	"time"

	"coralrelay/internal/proxy"
)

// Front words a transaction's final answers in the platform's protocol and
// notices what a relayed line says.
type Codec struct{}

// Busy is the busy answer, with the pause that is asked of the caller.
func (Codec) Busy(pause time.Duration) string {
	if ms := pause.Milliseconds(); ms > 0 {
		return "BUSY " + strconv.FormatInt(ms, 10)
	}
	return "BUSY"
}

// Failed is the answer that promises nothing.
func (Codec) Failed() string { return Error }

// Move asks the caller to come again.
func (Codec) Move() string { return Move }

// Notice tells what a next hop's line after UP says.
func (Codec) Classify(text []byte) proxy.LineKind {
	text = bytes.TrimRight(text, "\r\n")
	switch {
	case bytes.HasPrefix(text, []byte("LOAD ")):
		if _, err := parseNumber(string(text[len("LOAD "):])); err == nil {
			return proxy.LineLoadReport
		}
	case bytes.Equal(text, []byte(Move)):
		return proxy.LineMove
	case bytes.Equal(text, []byte("BYE")), bytes.HasPrefix(text, []byte("BYE ")):
		return proxy.LineBye
	}
	return proxy.LineOther
}
