package lineproto

import (
	"bytes"
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"coralrelay/internal/resumetoken"
)

// The words of resumable streams, beyond the platform's protocol. A caller that
// sends rs=1 or rs=TOKEN asks for one; a next hop that has them says so behind its
// receipt, and waits for START:
//
//	UP RECEIPT rs=1             from the next hop
//	START                       to it: from the beginning
//	START after=POS at=MS       the same, no older than POS; a next hop that numbers
//	                            otherwise goes by MS, Unix time in milliseconds
//	START resume=POS at=MS id=NONCE
//	                            go on behind POS; NONCE is the spent token's
//	RESUMED POS                 from it: what follows continues POS
//	SNAPSHOT POS COUNT          the state at POS follows, in the next COUNT lines
//	UPD OFFSET ...              a change, numbered in the epoch of POS
//	POS POS                     nothing has changed up to POS
//	MOVE TOKEN                  to the caller
const (
	// Asked is the value of rs that asks for a resumable stream.
	ResumeWanted   = "1"
	startKeyword   = "START"
	resumedPrefix  = "RESUMED "
	snapshotPrefix = "SNAPSHOT "
	updatePrefix   = "UPD "
	positionPrefix = "POS "
)

// Resumable tells whether a next hop's UP line says that it has such streams.
func IsResumable(up string) bool { return strings.HasSuffix(up, " rs="+ResumeWanted) }

// Start words the line that starts a stream. came is when its caller did: it can't
// have seen anything later.
func FormatStreamStart(o resumetoken.Outcome, came time.Time) string {
	at := " at=" + strconv.FormatInt(came.UnixMilli(), 10)
	switch {
	case o.CanResume:
		return startKeyword + " resume=" + o.Position.String() + at + " id=" + hex.EncodeToString(o.Nonce[:])
	case o.HasMinPosition:
		return startKeyword + " after=" + o.Position.String() + at
	}
	return startKeyword
}

// Reading follows the position in a stream as its lines pass. Its zero value has
// none yet.
type StreamPosition struct {
	position          resumetoken.Position
	known             bool
	snapshotLinesLeft int // lines of a snapshot that are still to come
	afterSnapshot     resumetoken.Position
}

// Position is how far the lines seen so far go. There is none before the stream
// says so, nor within a snapshot: half of one is nothing to go on from.
func (r *StreamPosition) Position() (resumetoken.Position, bool) { return r.position, r.known }

// Pass takes one line of the next hop's.
func (r *StreamPosition) Observe(text []byte) {
	if r.snapshotLinesLeft > 0 {
		if r.snapshotLinesLeft--; r.snapshotLinesLeft == 0 {
			r.position, r.known = r.afterSnapshot, true
		}
		return
	}
	text = bytes.TrimRight(text, "\r\n")
	if rest, ok := bytes.CutPrefix(text, []byte(updatePrefix)); ok {
		digits, _, _ := bytes.Cut(rest, []byte(" "))
		if n, err := strconv.ParseUint(string(digits), 10, 64); err == nil && r.known {
			r.position.Offset = n
			return
		}
		r.known = false // a numbering that can't be followed is none
		return
	}
	if rest, ok := bytes.CutPrefix(text, []byte(snapshotPrefix)); ok {
		at, count, _ := bytes.Cut(rest, []byte(" "))
		n, err := strconv.Atoi(string(count))
		r.known = false
		if pos, err2 := resumetoken.ParsePosition(string(at)); err == nil && err2 == nil && n >= 0 {
			r.afterSnapshot, r.snapshotLinesLeft = pos, n
			if n == 0 {
				r.position, r.known = pos, true
			}
		}
		return
	}
	for _, prefix := range []string{resumedPrefix, positionPrefix} {
		if rest, ok := bytes.CutPrefix(text, []byte(prefix)); ok {
			pos, err := resumetoken.ParsePosition(string(rest))
			r.position, r.known = pos, err == nil
			return
		}
	}
}
