package fake

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"coralrelay/internal/resumetoken"
)

// start answers START: it resumes where that is possible, and else sends a
// snapshot, for which a server that is behind waits until it has caught up with
// what the client has seen.
func (c *stream) start(ctx context.Context, rest string) error {
	var from, floor *resumetoken.Position
	var at time.Time
	nonce := ""
	for word := range strings.SplitSeq(rest, " ") {
		name, value, _ := strings.Cut(word, "=")
		switch name {
		case "resume", "after":
			p, err := resumetoken.ParsePosition(value)
			if err != nil {
				return c.say("SYNTAX")
			}
			if floor = &p; name == "resume" {
				from = &p
			}
		case "at":
			ms, _ := strconv.ParseInt(value, 10, 64)
			at = time.UnixMilli(ms)
		case "id":
			nonce = value
		}
	}
	epoch, base, head := c.s.numbering(c.group, time.Now())
	seen := Started{Server: c.s.Name, Node: c.node, Key: c.key, Group: c.group, Nonce: nonce}
	if from != nil && (from.Epoch == epoch || c.s.IgnoreEpoch) {
		// A position ahead of this server's is one it will reach.
		if have := from.Offset + base; have >= head || head-have <= uint64(c.s.History) {
			text := fmt.Sprintf("RESUMED %v\r\n", *from)
			c.mu.Lock()
			defer c.mu.Unlock()
			changes := c.s.Feed.Changes(c.group, have, head)
			body := updates(changes, from.Offset)
			seen.Resumed, seen.Bytes = true, len(text)+len(body)
			seen.Snapshot = len(c.snapshot(epoch, base, head))
			c.sent = max(have, head)
			c.s.Observer.Started(seen)
			return c.write(text + body)
		}
	}
	const patience = time.Second
	for begun := time.Now(); floor != nil && time.Since(begun) < patience; {
		known := c.s.horizon()
		if floor.Epoch == epoch && floor.Offset+base <= head || floor.Epoch != epoch && !known.Before(at) {
			break
		}
		if !Sleep(ctx, 5*time.Millisecond) {
			return ctx.Err()
		}
		epoch, base, head = c.s.numbering(c.group, time.Now())
	}
	text := c.snapshot(epoch, base, head)
	seen.Bytes, seen.Snapshot = len(text), len(text)
	c.s.Observer.Started(seen)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent = head
	return c.write(text)
}

// horizon is the time up to which the server knows the feed.
func (s *Server) horizon() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Add(-s.Lag)
}

func (c *stream) snapshot(epoch, base, head uint64) string {
	var b strings.Builder
	state := c.s.Feed.State(c.group, head)
	fmt.Fprintf(&b, "SNAPSHOT %v %d\r\n", resumetoken.Position{Epoch: epoch, Offset: head - base}, len(state))
	for l, v := range state {
		fmt.Fprintf(&b, "ITEM %d %d in stock, glazed by hand\r\n", l, v)
	}
	return b.String()
}

func updates(changes []Change, offset uint64) string {
	var b strings.Builder
	for i, u := range changes {
		fmt.Fprintf(&b, "UPD %d %d %d in stock, glazed by hand\r\n", offset+uint64(i)+1, u.Listing, u.Version)
	}
	return b.String()
}

// feed sends changes as they come, until the connection ends.
func (c *stream) feed(ctx context.Context) {
	for Sleep(ctx, 10*time.Millisecond) {
		_, base, head := c.s.numbering(c.group, time.Now())
		c.mu.Lock()
		var err error
		if head > c.sent {
			text := updates(c.s.Feed.Changes(c.group, c.sent, head), c.sent-base)
			c.sent = head
			err = c.write(text)
		}
		c.mu.Unlock()
		if err != nil {
			return
		}
	}
}
