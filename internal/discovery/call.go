package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"coralrelay/internal/bufconn"
)

const (
	// heartbeatInterval is how often the service writes something on a watch. A watch that is
	// silent for heartbeatTimeout is broken: a service that is cut off gives no other sign. A
	// heartbeat may be late by a quarter. Changes count as known 6 s after they were made;
	// what is left of that is for two complete calls and for the backoff of whoever decides
	// when to poll: docs/notes/lists.md has the sum.
	heartbeatInterval = 2 * time.Second
	heartbeatTimeout  = heartbeatInterval + heartbeatInterval/4
	// responseTimeout limits a dial, and the time from a response's or list's beginning until
	// the next call is made beside it. A connection request that is resent after a second is
	// established within it.
	responseTimeout = 1100 * time.Millisecond
	// headerTimeout limits the time until the response's header has come. The service handles
	// one call at a time and itself ends the others (protocol page): as long as it lets them
	// wait, 1 s at one known site and 3 s at another, nothing is won by going to the end of its
	// queue. No setting says how long.
	headerTimeout = 3100 * time.Millisecond
	// maxMessageBytes is the largest message that is read.
	maxMessageBytes = 8 << 20
)

// call is one call to the service, and the watch that it may become.
type call struct {
	addr           string
	fromGeneration int64
	events         chan<- event

	// The fields below belong to the goroutine of Watcher.Run.
	cancel          context.CancelFunc
	reason          callReason
	listDeadline    time.Time        // for its first list, if the reason is reasonWatchEnded
	overdue         <-chan time.Time // when it is reported as failed though it goes on; nil for never
	failureReported bool             // it was overdue, or has failed
	watching        bool             // its first list has come
}

// callReason is why a call is made. It decides for how long its list is awaited.
type callReason int

const (
	reasonStart      callReason = iota // the process starts: there is time for a second call
	reasonWatchEnded                   // or the address has changed: the time since then counts
	reasonCallFailed                   // the service may have just come back, and have a queue
)

// progress is how far the first message of a call has come.
type progress int

const (
	progressMessage   progress = iota // a complete message, the first or a later one
	progressHeader                    // the header: a message need not follow, as nothing may change
	progressFirstByte                 // the first byte of the first message
)

// event is what a call reports: its progress, a message, or its end, which has an error.
type event struct {
	call     *call
	progress progress
	date     time.Time // of the header, zero if it has none
	update   Update
	err      error
}

var (
	errOverdue         = errors.New("overdue: no response, or an incomplete list")
	errMessageTooLarge = fmt.Errorf("message of more than %d bytes", maxMessageBytes)
)

func dial(ctx context.Context, addr string, deadline time.Time) (net.Conn, error) {
	dialer := net.Dialer{Deadline: deadline, KeepAlive: -1}
	return dialer.DialContext(ctx, "tcp", addr)
}

// dialFunc connects to an address by a deadline.
type dialFunc func(ctx context.Context, addr string, deadline time.Time) (net.Conn, error)

// run makes the call and reports its events, the last of which has an error, until ctx ends.
func (c *call) run(ctx context.Context, dial dialFunc) {
	err := c.stream(ctx, dial)
	c.send(ctx, event{call: c, err: fmt.Errorf("watch: %w", err)})
}

// send reports an event, unless ctx has ended.
func (c *call) send(ctx context.Context, reported event) {
	select {
	case c.events <- reported:
	case <-ctx.Done():
	}
}

// stream makes the call and reports its progress and messages until it ends.
func (c *call) stream(ctx context.Context, dial dialFunc) error {
	now := time.Now()
	conn, err := dial(ctx, c.addr, now.Add(responseTimeout))
	if err != nil {
		return err
	}
	watched := &heartbeatConn{Conn: conn}
	buffered := bufconn.New(watched)
	defer buffered.Release()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	body, date, err := c.sendRequest(buffered, now.Add(headerTimeout))
	if err != nil {
		return err
	}
	watched.headerReceived = true
	c.send(ctx, event{call: c, progress: progressHeader, date: date})
	reader := &byteReader{body: body, onFirstByte: func() {
		c.send(ctx, event{call: c, progress: progressFirstByte})
	}}
	decoder := json.NewDecoder(reader)
	for {
		var decoded message
		reader.remaining = maxMessageBytes
		if err := decoder.Decode(&decoded); err != nil {
			return err
		}
		update, err := decoded.update()
		if err != nil {
			return err
		}
		c.send(ctx, event{call: c, update: update})
	}
}
