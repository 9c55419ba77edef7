package discovery

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"coralrelay/internal/bufconn"
)

const (
	// heartbeatInterval is how often the discovery service writes something on a watch. A watch
	// that stays silent for heartbeatTimeout counts as broken, as a service that has been cut off
	// gives no other sign; heartbeatTimeout allows for a heartbeat that is late by a quarter of the
	// interval. A change counts as known to this node 6 s after it was made. The time that remains
	// after heartbeatTimeout has to suffice for two complete calls and for the backoff between
	// polls: docs/notes/lists.md has the calculation.
	heartbeatInterval = 2 * time.Second
	heartbeatTimeout  = heartbeatInterval + heartbeatInterval/4
	// responseTimeout limits a dial. It is also the time after which a call becomes overdue, so that
	// the next call can start in parallel, if its header or a list that has begun to arrive is still
	// incomplete. For a call with a list deadline it counts from the start of the call; for a call
	// after a failed one it counts from the first byte of the list. A connection whose first SYN is
	// lost and is resent after a second is established within it.
	responseTimeout = 1100 * time.Millisecond
	// queueTimeout is the time after which a call without a list deadline becomes overdue if no
	// response header has arrived, so that the next call can start in parallel. The service handles
	// one call at a time and, by its protocol, itself ends the calls that have waited too long: after
	// 1 s at one known site and after 3 s at another; no setting tells the limit. Before that, a new
	// call gains nothing, as it would join the end of the queue.
	queueTimeout = 3100 * time.Millisecond
	// minHeaderTimeout is the least time that a call waits for the response header; a large number
	// of instances makes it longer. The call keeps its place in the service's queue for that time,
	// while another call runs in parallel.
	minHeaderTimeout = 7 * time.Second
	// maxCallServiceTime is the time that the slowest known service spends on one call.
	maxCallServiceTime = 27 * time.Millisecond
)

// call is one call to the discovery service. A successful call continues as a watch.
type call struct {
	number         int // from 1, in log lines
	addr           string
	fromGeneration int64
	startedAt      time.Time
	headerTimeout  time.Duration
	limits         Limits
	events         chan<- event

	malformedLogged bool // malformed entries were logged; belongs to the goroutine of run

	// The fields below belong to the goroutine of Watcher.Run.
	cancel           context.CancelFunc
	reason           callReason
	reached          progress         // the furthest progress so far
	headerReceivedAt time.Time        // when the response header arrived
	listDeadline     time.Time        // for the first list; zero unless reason.hasListDeadline
	overdue          <-chan time.Time // fires when the call becomes overdue; nil for never
	failureReported  bool             // the call was reported as overdue or failed
	outdatedReported bool             // a list that is older than the current one was logged
	watching         bool             // a list, or a heartbeat that confirms the current one, has arrived
}

// callReason is the reason for a call. It determines how long the call may take to deliver its
// list.
type callReason int

const (
	reasonStart          callReason = iota // the process has started; there is time for a second call
	reasonWatchEnded                       // the time for the list counts from the call's start
	reasonAddressChanged                   // the same
	reasonCallFailed                       // the service may just have recovered, and have a queue
	reasonCount
)

var reasonNames = [reasonCount]string{"start", "watch_ended", "address_changed", "call_failed"}

func (r callReason) String() string { return reasonNames[r] }

// hasListDeadline reports whether the time allowed for the first list counts from the start of the
// call.
func (r callReason) hasListDeadline() bool { return r == reasonWatchEnded || r == reasonAddressChanged }

// progress is the stage that a call has reached.
type progress int

const (
	progressNone      progress = iota // the call has started
	progressConnected                 // the connection is established
	progressHeader                    // the header has arrived; no message follows if nothing has changed
	progressFirstByte                 // the first byte of the first message has arrived
	progressHeartbeat                 // an empty line has arrived; all earlier changes came before it
	progressMessage                   // a complete message has arrived, the first or a later one
	progressCount
)

var progressNames = [progressCount]string{"none", "connected", "header", "first_byte", "heartbeat", "message"}

func (p progress) String() string { return progressNames[p] }

// event is what a call reports to the Watcher: progress, a message, or its end, which carries an
// error.
type event struct {
	call     *call
	at       time.Time // when it arrived; for a message, when its first byte arrived
	progress progress
	date     time.Time // the Date of the response header; zero if it has none
	update   Update
	err      error
}

var (
	errOverdue         = errors.New("overdue: no response header, or an incomplete list")
	errOutdatedChanges = errors.New("changes have an older generation than the current list")
)

func dial(ctx context.Context, addr string, deadline time.Time) (net.Conn, error) {
	dialer := net.Dialer{Deadline: deadline, KeepAlive: -1}
	return dialer.DialContext(ctx, "tcp", addr)
}

// dialFunc connects to an address before the deadline.
type dialFunc func(ctx context.Context, addr string, deadline time.Time) (net.Conn, error)

// headerTimeout returns how long a call waits for its response header when the given number of
// instances call the service: the time that a slow service needs to serve them all. A call that is
// abandoned sooner loses its place in the queue, and the service may spend the time on it
// regardless.
func headerTimeout(instances int) time.Duration {
	return max(minHeaderTimeout, time.Duration(instances)*maxCallServiceTime)
}

// run makes the call and sends its events, the last of which has an error, until ctx ends.
func (c *call) run(ctx context.Context, dial dialFunc) {
	err := c.stream(ctx, dial)
	c.send(ctx, event{call: c, err: fmt.Errorf("watch: %w", err)})
}

// send sends an event to the Watcher, unless ctx has ended.
func (c *call) send(ctx context.Context, ev event) {
	select {
	case c.events <- ev:
	case <-ctx.Done():
	}
}

// reportProgress sends the progress that the call has just made.
func (c *call) reportProgress(ctx context.Context, reached progress) {
	c.send(ctx, event{call: c, at: time.Now(), progress: reached})
}

// stream makes the call and sends its progress and messages until it ends. The returned error is a
// *callError.
func (c *call) stream(ctx context.Context, dial dialFunc) error {
	conn, err := dial(ctx, c.addr, c.startedAt.Add(responseTimeout))
	if err != nil {
		return newDialError(err)
	}
	c.reportProgress(ctx, progressConnected)
	limited := newLimitedConn(conn, c.addr, c.limits)
	buffered := bufconn.New(limited)
	defer buffered.Release()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	response, err := c.sendRequest(buffered, c.startedAt.Add(c.headerTimeout))
	if err != nil {
		return newHeaderError(err)
	}
	limited.endHead()
	c.send(ctx, event{call: c, at: time.Now(), progress: progressHeader, date: responseDate(response)})
	return c.readMessages(ctx, newMessageReader(ctx, c, limited, responseBody(response, buffered)))
}

// readMessages sends the messages and heartbeats of the response body until the body ends.
func (c *call) readMessages(ctx context.Context, reader *messageReader) error {
	for {
		decoded, startedAt, err := reader.next()
		if err != nil {
			return newMessageError(err)
		}
		update, err := decoded.update()
		if err != nil {
			return newMessageError(err)
		}
		if list := &decoded.Instances; !c.malformedLogged {
			list.logMalformed()
			c.malformedLogged = list.unused.count+list.skipped.count > 0
		}
		c.send(ctx, event{call: c, at: startedAt, progress: progressMessage, update: update})
	}
}
