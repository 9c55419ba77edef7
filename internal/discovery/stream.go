package discovery

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"golang.org/x/time/rate"

	"coralrelay/internal/inputlimit"
)

// messageReader reads one message after the other from the body of a response. It reads one byte at a
// time: if it read more, the chunked reader would wait for the rest of a chunk while it already holds
// a complete list.
type messageReader struct {
	ctx      context.Context
	call     *call
	conn     *limitedConn
	body     io.Reader
	updates  *rate.Limiter // of messages and heartbeats
	entries  *rate.Limiter // of the entries of all messages
	partSize int           // bytes that were read of the current part
	size     int           // bytes of the current message; 0 between two messages
	isFirst  bool          // no message has begun to arrive yet
}

func newMessageReader(ctx context.Context, c *call, conn *limitedConn, body io.Reader) *messageReader {
	return &messageReader{
		ctx:     ctx,
		call:    c,
		conn:    conn,
		body:    body,
		updates: newUpdateLimiter(),
		entries: c.limits.newEntryLimiter(),
		isFirst: true,
	}
}

// next returns the next message, and when its first byte arrived.
func (r *messageReader) next() (message message, startedAt time.Time, err error) {
	r.size, r.conn.messageStartedAt = 0, time.Time{}
	message.Instances.max = r.call.limits.Endpoints
	message.Instances.peer = r.call.addr
	// A Decoder does not read beyond the end of an object, and keeps a buffer of the size of its
	// largest message.
	if err := json.NewDecoder(r).Decode(&message); err != nil {
		return message, time.Time{}, err
	}
	if err := r.countEntries(message.Instances.count); err != nil {
		return message, time.Time{}, err
	}
	return message, r.conn.messageStartedAt, r.countUpdate()
}

// Read reads at most one byte. It skips white space between two messages.
func (r *messageReader) Read(p []byte) (int, error) {
	for {
		n, err := r.body.Read(p[:min(len(p), 1)])
		if n == 0 {
			return 0, err
		}
		r.pause()
		if r.size > 0 || !isSpace(p[0]) {
			return n, r.addByte()
		}
		if p[0] == '\n' {
			if err := r.countUpdate(); err != nil {
				return 0, err
			}
			r.call.reportProgress(r.ctx, progressHeartbeat)
		}
	}
}

// pause pauses after each part of a response that goes on for longer than a list.
func (r *messageReader) pause() {
	if r.partSize++; r.partSize < readPartBytes {
		return
	}
	r.partSize = 0
	if r.conn.recentBytes() > unpausedBytes {
		time.Sleep(readPause)
	}
}

// addByte counts a byte of a message.
func (r *messageReader) addByte() error {
	r.size++
	if r.size == 1 {
		r.conn.messageStartedAt = time.Now()
		if r.isFirst {
			r.call.reportProgress(r.ctx, progressFirstByte)
			r.isFirst = false
		}
	}
	if limit := r.call.limits.MessageBytes; r.size > limit {
		return inputlimit.Exceeded(inputlimit.DiscoveryMessage, r.call.addr, int64(r.size), int64(limit))
	}
	return nil
}

// countUpdate counts a message or a heartbeat.
func (r *messageReader) countUpdate() error {
	if r.updates.Allow() {
		return nil
	}
	return inputlimit.Exceeded(inputlimit.DiscoveryUpdates, r.call.addr, updateBurst+1, updateBurst)
}

// countEntries counts the entries of a message.
func (r *messageReader) countEntries(count int) error {
	if r.entries.AllowN(time.Now(), count) {
		return nil
	}
	burst := int64(r.call.limits.entryBurst())
	return inputlimit.Exceeded(inputlimit.DiscoveryEntries, r.call.addr, burst+1, burst)
}

// isSpace reports whether a byte is white space in JSON.
func isSpace(char byte) bool { return char == ' ' || char == '\t' || char == '\r' || char == '\n' }
