package fake

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"coralrelay/internal/resumetoken"
)

const (
	streamStartTimeout = 3 * time.Second // from UP to the first line of the stream
	lineTimeout        = 8 * time.Second // between two consecutive lines
	heartbeatInterval  = 2 * time.Second
	writeTimeout       = time.Second
)

var errUnexpectedLine = errors.New("unexpected line")

// streamReader is the state of a client's reading of the stream of one connection.
type streamReader struct {
	*connection
	upAt      time.Time
	hasBegun  bool
	itemsLeft int // items of the snapshot that are still to come
}

// follow reads an established connection to its end. It returns the token of the MOVE that ended the
// connection, or an empty one. hasStream reports whether the final answer announced a stream.
func (c *connection) follow(ctx context.Context, hasStream bool) (token string) {
	if hasStream {
		_ = c.SetReadDeadline(time.Now().Add(streamStartTimeout))
	}
	heartbeats, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	wg.Go(func() { c.sendHeartbeats(heartbeats) })
	s := &streamReader{connection: c, upAt: time.Now()}
	for {
		line, err := c.reader.ReadString('\n')
		if err != nil {
			if hasStream && !s.hasBegun && ctx.Err() == nil && isTimeout(err) &&
				!c.Nodes.StoppedSince(c.node, time.Now().Add(-streamStartTimeout)) {
				c.violation(ruleSilence, "UP, and then no stream")
			}
			return ""
		}
		_ = c.SetReadDeadline(time.Now().Add(lineTimeout))
		line = strings.TrimRight(line, "\r\n")
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "MOVE":
			c.handleMove(line, rest)
			return rest
		case "RESUMED", "SNAPSHOT", "ITEM", "UPD":
			if err := s.handleLine(word, strings.Fields(rest)); err != nil {
				c.violation(ruleStream, "%q: %v", line, err)
				return ""
			}
		case "HEY", "BYE", "LOAD", "POS":
		default:
			c.violation(ruleStream, "%q", line)
		}
	}
}

// sendHeartbeats sends HI at each heartbeatInterval until ctx ends.
func (c *connection) sendHeartbeats(ctx context.Context) {
	for n := 0; Sleep(ctx, heartbeatInterval); n++ {
		_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, _ = fmt.Fprintf(c.Conn, "HI %d\r\n", n) // the reader notices a broken connection
	}
}

// handleMove reports a MOVE. A client that did not request resumption must not receive a token.
func (c *connection) handleMove(line, token string) {
	if !c.WithoutResumption {
		c.Observer.Moved(c.Key, c.Group, token)
	} else if token != "" {
		detail := fmt.Sprintf("%s: %q to a client that did not ask", c.Key, line)
		c.Observer.AddViolation(ruleUnrequested, detail)
	}
}

// handleLine applies one line of the stream to the client's state.
func (s *streamReader) handleLine(word string, fields []string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	switch {
	case word == "RESUMED" && len(fields) == 1 && !s.hasBegun:
		return s.handleResumed(fields, now)
	case word == "SNAPSHOT" && len(fields) == 2 && !s.hasBegun:
		return s.handleSnapshot(fields, now)
	case word == "ITEM" && len(fields) >= 3 && s.hasBegun:
		return s.handleItem(fields)
	case word == "UPD" && len(fields) >= 3 && s.hasBegun:
		return s.handleUpdate(fields, now)
	}
	return errUnexpectedLine
}

// begin records and reports the start of the stream. The caller holds the lock.
func (s *streamReader) begin(resumed bool, now time.Time) {
	gap := time.Duration(0)
	if !s.lastLineAt.IsZero() {
		gap = now.Sub(s.lastLineAt)
	}
	s.hasBegun, s.streamingSince, s.lastLineAt = true, now, now
	s.Observer.Streaming(s.Key, s.token != "", resumed, now.Sub(s.upAt), gap)
}

// handleResumed handles RESUMED POSITION.
func (s *streamReader) handleResumed(fields []string, now time.Time) error {
	position, err := resumetoken.ParsePosition(fields[0])
	switch {
	case err != nil:
		return err
	case s.token == "":
		return errors.New("resumed without a token")
	case position != s.position:
		return fmt.Errorf("resumed at %v, the client is at %v", position, s.position)
	}
	s.begin(true, now)
	return nil
}

// handleSnapshot handles SNAPSHOT POSITION ITEMS.
func (s *streamReader) handleSnapshot(fields []string, now time.Time) error {
	position, err := resumetoken.ParsePosition(fields[0])
	if err != nil {
		return err
	}
	items, err := strconv.Atoi(fields[1])
	if err != nil {
		return err
	}
	s.itemsLeft, s.position, s.hasPosition = items, position, items == 0
	s.begin(false, now)
	return nil
}

// handleItem handles ITEM LISTING VERSION TEXT, an item of the snapshot.
func (s *streamReader) handleItem(fields []string) error {
	if s.itemsLeft--; s.itemsLeft == 0 {
		s.hasPosition = true
	}
	listing, version, err := parseVersion(fields[0], fields[1])
	if err != nil {
		return err
	}
	return s.setVersion(listing, version)
}

// handleUpdate handles UPD OFFSET LISTING VERSION TEXT.
func (s *streamReader) handleUpdate(fields []string, now time.Time) error {
	offset, offsetErr := strconv.ParseUint(fields[0], 10, 64)
	listing, version, err := parseVersion(fields[1], fields[2])
	if err := errors.Join(offsetErr, err); err != nil {
		return err
	}
	if s.itemsLeft > 0 || offset != s.position.Offset+1 {
		return fmt.Errorf("offset %d follows %d, %d items open", offset, s.position.Offset, s.itemsLeft)
	}
	s.position.Offset, s.lastLineAt = offset, now
	return s.setVersion(listing, version)
}

// parseVersion parses the number of a listing and its version.
func parseVersion(listingText, versionText string) (listing int, version uint64, err error) {
	listing, listingErr := strconv.Atoi(listingText)
	version, versionErr := strconv.ParseUint(versionText, 10, 64)
	return listing, version, errors.Join(listingErr, versionErr)
}

// setVersion sets the version of a listing. A version lower than the current one is an error.
func (s *streamReader) setVersion(listing int, version uint64) error {
	if version < s.versions[listing] {
		return fmt.Errorf("listing %d goes back from version %d", listing, s.versions[listing])
	}
	s.versions[listing] = version
	return nil
}
