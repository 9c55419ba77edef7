package lineproto

import (
	"bytes"
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"coralrelay/internal/resumetoken"
)

// Lines of resumable streams, an extension of the platform's protocol. A client requests such a
// stream with rs=1 or rs=TOKEN. An endpoint that supports them appends rs=1 to its UP line and
// waits for START:
//
//	UP RECEIPT rs=1             from the endpoint
//	START                       to the endpoint: start at the beginning
//	START after=POS at=MS       to the endpoint: start at the beginning, with a state that
//	                            is not older than POS; an endpoint that numbers positions
//	                            differently uses MS, Unix time in milliseconds
//	START resume=POS at=MS id=NONCE
//	                            to the endpoint: continue after POS; NONCE is that of the
//	                            redeemed token
//	RESUMED POS                 from the endpoint: what follows continues after POS
//	SNAPSHOT POS COUNT          from the endpoint: the next COUNT lines are the state at POS
//	UPD OFFSET ...              a change; OFFSET belongs to the epoch of POS
//	POS POS                     nothing has changed up to POS
//	MOVE TOKEN                  to the client
const (
	// ResumeWanted is the value of rs that requests a resumable stream without a token.
	ResumeWanted = "1"

	startKeyword   = "START"
	resumedPrefix  = "RESUMED "
	snapshotPrefix = "SNAPSHOT "
	updatePrefix   = "UPD "
	positionPrefix = "POS "
)

// IsResumable reports whether an endpoint's UP line says that it supports resumable streams.
func IsResumable(up string) bool { return strings.HasSuffix(up, " rs="+ResumeWanted) }

// FormatStreamStart returns the line that starts a stream. connectedAt is when the client
// connected: the client cannot have seen a later state.
func FormatStreamStart(outcome resumetoken.Outcome, connectedAt time.Time) string {
	at := " at=" + strconv.FormatInt(connectedAt.UnixMilli(), 10)
	switch {
	case outcome.CanResume:
		return startKeyword + " resume=" + outcome.Position.String() + at +
			" id=" + hex.EncodeToString(outcome.Nonce[:])
	case outcome.HasMinPosition:
		return startKeyword + " after=" + outcome.Position.String() + at
	}
	return startKeyword
}

// StreamPosition tracks the position in a stream from its lines. The zero value has no position
// yet.
type StreamPosition struct {
	position          resumetoken.Position
	known             bool
	snapshotLinesLeft int // lines of the current snapshot that have not been observed yet
	afterSnapshot     resumetoken.Position
}

// Position returns the position after the lines observed so far. There is none before the stream
// announces one, nor within a snapshot, as a stream cannot be resumed from part of a snapshot.
func (p *StreamPosition) Position() (resumetoken.Position, bool) { return p.position, p.known }

// Observe updates the position with a line from the endpoint.
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

// observeUpdate handles the text after UPD. After an invalid offset the position is unknown.
func (p *StreamPosition) observeUpdate(rest []byte) {
	digits, _, _ := bytes.Cut(rest, []byte(" "))
	offset, err := strconv.ParseUint(string(digits), 10, 64)
	if err != nil || !p.known {
		p.known = false
		return
	}
	p.position.Offset = offset
}

// observeSnapshot handles the text after SNAPSHOT.
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
