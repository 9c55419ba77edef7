package lineproto

import (
	"bytes"
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"coralrelay/internal/resumetoken"
)

// Lines of resumable streams, beyond the platform's protocol. A client that sends rs=1 or
// rs=TOKEN asks for one; an endpoint that has them says so behind its receipt, and waits
// for START:
//
//	UP RECEIPT rs=1             from the endpoint
//	START                       to it: from the beginning
//	START after=POS at=MS       the same, no older than POS; an endpoint that numbers
//	                            otherwise goes by MS, Unix time in milliseconds
//	START resume=POS at=MS id=NONCE
//	                            go on behind POS; NONCE is the spent token's
//	RESUMED POS                 from it: what follows continues POS
//	SNAPSHOT POS COUNT          the state at POS follows, in the next COUNT lines
//	UPD OFFSET ...              a change, numbered in the epoch of POS
//	POS POS                     nothing has changed up to POS
//	MOVE TOKEN                  to the client
const (
	// ResumeWanted is the value of rs that asks for a resumable stream.
	ResumeWanted = "1"

	startKeyword   = "START"
	resumedPrefix  = "RESUMED "
	snapshotPrefix = "SNAPSHOT "
	updatePrefix   = "UPD "
	positionPrefix = "POS "
)

// IsResumable reports whether an endpoint's UP line says that it has resumable streams.
func IsResumable(up string) bool { return strings.HasSuffix(up, " rs="+ResumeWanted) }

// FormatStreamStart returns the line that starts a stream. connectedAt is when its client
// connected: it can't have seen anything later.
func FormatStreamStart(o resumetoken.Outcome, connectedAt time.Time) string {
	at := " at=" + strconv.FormatInt(connectedAt.UnixMilli(), 10)
	switch {
	case o.CanResume:
		return startKeyword + " resume=" + o.Position.String() + at + " id=" + hex.EncodeToString(o.Nonce[:])
	case o.HasMinPosition:
		return startKeyword + " after=" + o.Position.String() + at
	}
	return startKeyword
}

// StreamPosition follows the position in a stream as its lines pass. Its zero value has
// none yet.
type StreamPosition struct {
	position          resumetoken.Position
	known             bool
	snapshotLinesLeft int // lines of a snapshot that are still to come
	afterSnapshot     resumetoken.Position
}

// Position returns how far the lines observed so far go. There is none before the stream
// says so, nor within a snapshot: half of one is nothing to go on from.
func (p *StreamPosition) Position() (resumetoken.Position, bool) { return p.position, p.known }

// Observe takes one line of the endpoint's.
func (p *StreamPosition) Observe(line []byte) {
	if p.snapshotLinesLeft > 0 {
		p.observeSnapshotLine()
		return
	}
	line = bytes.TrimRight(line, "\r\n")
	if rest, ok := bytes.CutPrefix(line, []byte(updatePrefix)); ok {
		p.observeUpdate(rest)
		return
	}
	if rest, ok := bytes.CutPrefix(line, []byte(snapshotPrefix)); ok {
		p.observeSnapshot(rest)
		return
	}
	for _, prefix := range []string{resumedPrefix, positionPrefix} {
		if rest, ok := bytes.CutPrefix(line, []byte(prefix)); ok {
			position, err := resumetoken.ParsePosition(string(rest))
			p.position, p.known = position, err == nil
			return
		}
	}
}

func (p *StreamPosition) observeSnapshotLine() {
	p.snapshotLinesLeft--
	if p.snapshotLinesLeft == 0 {
		p.position, p.known = p.afterSnapshot, true
	}
}

// observeUpdate takes what follows UPD. A numbering that can't be followed is none.
func (p *StreamPosition) observeUpdate(rest []byte) {
	digits, _, _ := bytes.Cut(rest, []byte(" "))
	offset, err := strconv.ParseUint(string(digits), 10, 64)
	if err != nil || !p.known {
		p.known = false
		return
	}
	p.position.Offset = offset
}

// observeSnapshot takes what follows SNAPSHOT.
func (p *StreamPosition) observeSnapshot(rest []byte) {
	at, count, _ := bytes.Cut(rest, []byte(" "))
	lines, err := strconv.Atoi(string(count))
	position, positionErr := resumetoken.ParsePosition(string(at))
	p.known = false
	if err != nil || positionErr != nil || lines < 0 {
		return
	}
	p.afterSnapshot, p.snapshotLinesLeft = position, lines
	if lines == 0 {
		p.position, p.known = position, true
	}
}
