package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"coralrelay/internal/fake"
)

// longSessionShare is the share of clients that use their connection until the node moves or ends
// it, at most for longSessionLength. They make sure that a terminated node has connections up to
// its kill.
const (
	longSessionShare  = 0.25
	longSessionLength = 20 * time.Second
)

// drawSessionLength draws how long the client uses its connection.
func (c *client) drawSessionLength() time.Duration {
	if c.rng.Float64() < longSessionShare {
		return longSessionLength
	}
	return 200*time.Millisecond + time.Duration(c.rng.ExpFloat64()*1.2*float64(time.Second))
}

// exchangeLines sends lines at intervals and reads the answers, until the session length is over,
// the client is migrated, or the connection ends.
func (c *client) exchangeLines(ctx context.Context) {
	endAt := time.Now().Add(c.drawSessionLength())
	for time.Now().Before(endAt) {
		if _, err := fmt.Fprint(c.conn, "ping\r\n"); err != nil {
			c.readEnd()
			return
		}
		_ = c.conn.SetReadDeadline(time.Now().Add(lineTimeout + answerGrace))
		line, err := c.reader.ReadString('\n')
		switch {
		case err != nil:
			if errors.Is(err, os.ErrDeadlineExceeded) {
				c.run.history.update(func(time.Duration) { c.record.Unanswered++ })
			}
			c.recordEnd(err)
			return
		case strings.HasPrefix(line, "MOVE"):
			c.run.history.update(func(time.Duration) { c.record.Moved = true })
			return
		case strings.HasPrefix(line, "UP "), strings.HasPrefix(line, "BUSY"):
			c.run.history.update(func(time.Duration) { c.record.SecondAnswer = strings.TrimSpace(line) })
		}
		if !fake.Sleep(ctx, time.Duration(100+c.rng.IntN(400))*time.Millisecond) {
			break
		}
	}
	c.leave()
}

// readEnd reads the remaining input of a connection that cannot be written to, which may contain
// MOVE.
func (c *client) readEnd() {
	_ = c.conn.SetReadDeadline(time.Now().Add(time.Second))
	for {
		line, err := c.reader.ReadString('\n')
		if strings.HasPrefix(line, "MOVE") {
			c.run.history.update(func(time.Duration) { c.record.Moved = true })
		}
		if err != nil {
			c.recordEnd(err)
			return
		}
	}
}

// recordEnd records how the connection ended, unless the client left.
func (c *client) recordEnd(err error) {
	end := "reset"
	switch {
	case err == nil || errors.Is(err, io.EOF):
		end = "eof"
	case errors.Is(err, os.ErrDeadlineExceeded):
		end = "timeout"
	}
	c.run.history.update(func(now time.Duration) {
		if c.record.LeftAt == 0 {
			c.record.End, c.record.EndedAt = end, now
		}
	})
}
