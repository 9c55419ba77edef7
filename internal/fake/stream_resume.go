package fake

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"coralrelay/internal/resumetoken"
)

const (
	// catchUpTimeout is how long a lagging server waits for the changes that a client has already seen.
	catchUpTimeout  = time.Second
	catchUpInterval = 5 * time.Millisecond
	updateInterval  = 10 * time.Millisecond
)

// startRequest is a parsed START line.
type startRequest struct {
	resumeAt *resumetoken.Position // nil requests a snapshot
	seen     *resumetoken.Position // position that the client has seen; a snapshot must not be older
	seenAt   time.Time             // time at which the client had reached that position
	nonce    string                // nonce of the token
}

// parseStart parses the arguments of START.
func parseStart(rest string) (request startRequest, err error) {
	for word := range strings.SplitSeq(rest, " ") {
		name, value, _ := strings.Cut(word, "=")
		switch name {
		case "resume", "after":
			position, err := resumetoken.ParsePosition(value)
			if err != nil {
				return startRequest{}, err
			}
			request.seen = &position
			if name == "resume" {
				request.resumeAt = &position
			}
		case "at":
			ms, _ := strconv.ParseInt(value, 10, 64)
			request.seenAt = time.UnixMilli(ms)
		case "id":
			request.nonce = value
		}
	}
	return request, nil
}

// numbering maps a server's offsets in one group to the numbers of changes in the feed.
type numbering struct {
	epoch uint64
	base  uint64 // number in the feed of offset 0
	head  uint64 // number in the feed of the last change that the server has
}

// numberingOf returns the current numbering of a group.
func (s *Server) numberingOf(group string) numbering {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return numbering{s.epoch, s.base[group], s.Feed.Head(group, now.Add(-s.Lag))}
}

// knownUntil returns the time up to which the server has the changes of the feed.
func (s *Server) knownUntil() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Add(-s.Lag)
}

// handleStart answers START. It resumes the stream if that is possible and otherwise sends a snapshot.
// Before a snapshot, a lagging server waits until it has the changes that the client has seen.
func (c *stream) handleStart(ctx context.Context, rest string) error {
	request, err := parseStart(rest)
	if err != nil {
		return c.send("SYNTAX")
	}
	n := c.server.numberingOf(c.group)
	started := Started{
		Server: c.server.Name, Node: c.node, Key: c.key, Group: c.group, Nonce: request.nonce,
	}
	if c.server.canResume(n, request.resumeAt) {
		return c.resume(*request.resumeAt, n, started)
	}
	if n, err = c.catchUp(ctx, request, n); err != nil {
		return err
	}
	text := c.snapshot(n)
	started.Bytes, started.Snapshot = len(text), len(text)
	c.server.Observer.Started(started)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent = n.head
	return c.write(text)
}

// canResume reports whether the server can send all changes after a position. That includes a position
// beyond the server's head, because a lagging server will reach it.
func (s *Server) canResume(n numbering, at *resumetoken.Position) bool {
	if at == nil || at.Epoch != n.epoch && !s.IgnoreEpoch {
		return false
	}
	have := at.Offset + n.base
	return have >= n.head || n.head-have <= uint64(s.History)
}

// resume answers START with RESUMED and the changes after a position.
func (c *stream) resume(at resumetoken.Position, n numbering, started Started) error {
	have := at.Offset + n.base
	text := fmt.Sprintf("RESUMED %v\r\n", at)
	c.mu.Lock()
	defer c.mu.Unlock()
	text += formatUpdates(c.server.Feed.Changes(c.group, have, n.head), at.Offset)
	started.Resumed, started.Bytes = true, len(text)
	started.Snapshot = len(c.snapshot(n))
	c.sent = max(have, n.head)
	c.server.Observer.Started(started)
	return c.write(text)
}

// catchUp waits until the server has the changes that the client has seen, or until catchUpTimeout has
// passed. It returns the numbering of the group at that time.
func (c *stream) catchUp(ctx context.Context, request startRequest, n numbering) (numbering, error) {
	for startedAt := time.Now(); request.seen != nil && time.Since(startedAt) < catchUpTimeout; {
		if c.server.hasSeen(request, n) {
			break
		}
		if !Sleep(ctx, catchUpInterval) {
			return n, ctx.Err()
		}
		n = c.server.numberingOf(c.group)
	}
	return n, nil
}

// hasSeen reports whether the server has the changes that the client has seen. It compares offsets if
// the epoch is the same, and times otherwise.
func (s *Server) hasSeen(request startRequest, n numbering) bool {
	if request.seen.Epoch == n.epoch {
		return request.seen.Offset+n.base <= n.head
	}
	return !s.knownUntil().Before(request.seenAt)
}

// snapshot returns the lines of a snapshot of the group at the head of the numbering.
func (c *stream) snapshot(n numbering) string {
	state := c.server.Feed.State(c.group, n.head)
	var b strings.Builder
	fmt.Fprintf(&b, "SNAPSHOT %v %d\r\n", resumetoken.Position{Epoch: n.epoch, Offset: n.head - n.base}, len(state))
	for listing, version := range state {
		fmt.Fprintf(&b, "ITEM %d %d in stock, glazed by hand\r\n", listing, version)
	}
	return b.String()
}

// formatUpdates returns the UPD lines of the changes that follow an offset.
func formatUpdates(changes []Change, offset uint64) string {
	var b strings.Builder
	for i, c := range changes {
		fmt.Fprintf(&b, "UPD %d %d %d in stock, glazed by hand\r\n", offset+uint64(i)+1, c.Listing, c.Version)
	}
	return b.String()
}

// sendUpdates sends new changes at each updateInterval until ctx ends or a write fails.
func (c *stream) sendUpdates(ctx context.Context) {
	for Sleep(ctx, updateInterval) {
		n := c.server.numberingOf(c.group)
		c.mu.Lock()
		var err error
		if n.head > c.sent {
			text := formatUpdates(c.server.Feed.Changes(c.group, c.sent, n.head), c.sent-n.base)
			c.sent = n.head
			err = c.write(text)
		}
		c.mu.Unlock()
		if err != nil {
			return
		}
	}
}
