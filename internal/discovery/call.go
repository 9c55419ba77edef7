package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http/httputil"
	"strings"
	"time"

	"coralrelay/internal/bufconn"
)

const (
	// heartbeat is how often a watch says something; without a word for dead it is broken.
	// A cut-off discovery gives no other sign. A word may come a quarter late; what then
	// stays of the 6 s after which all that was missed counts as told is for two whole
	// calls and the pauses of who decides when to ask: docs/notes/lists.md has the sum.
	heartbeatInterval = 2 * time.Second
	heartbeatTimeout  = heartbeatInterval + heartbeatInterval/4
	// answered is how long a dial may take, and an answer or a list that has begun, until the
	// next call is made beside it. A dial that is resent after a second comes up within it.
	responseTimeout = 1100 * time.Millisecond
	// held is how long a call may wait for its answer's head. Discovery serves one call at a
	// time and itself ends the others (protocol page): as long as it lets them wait, 1 s at
	// one of the sites that lie beside the pages and 3 s at another, nothing is won by going
	// to the end of its queue. No setting tells how long.
	headerTimeout = 3100 * time.Millisecond
	// largest bounds one message.
	maxMessageBytes = 8 << 20
)

// call is one call of discovery, and the watch that it may become.
type call struct {
	addr           string
	fromGeneration int64
	events         chan<- event

	// What follows belongs to the goroutine of Watch.Run.
	cancel          context.CancelFunc
	reason          callReason
	listDeadline    time.Time        // when its list is late, if it is made after a watch
	overdue         <-chan time.Time // when it is to be told as failed though it goes on
	failureReported bool             // it has been
	watching        bool             // it is a watch
}

// after is what a call is made after: that says how long its list is waited for.
type callReason int

const (
	reasonStart      callReason = iota // of the process: time for a second call is left in any case
	reasonWatchEnded                   // or a move: the time counts from its end, and may be short
	reasonCallFailed                   // of a call: discovery may just be back, and have a queue
)

// stage is how far the first message of a call has come.
type progress int

const (
	progressMessage progress = iota // and all that follow it
	progressHeader                  // nothing has come behind the head, and need not: a watch may be quiet
	progressFirstByte
)

// news is what a call says: how far it has come, a whole message, or its end.
type event struct {
	call     *call
	progress progress
	update   Update
	err      error
}

var (
	errOverdue         = errors.New("late: no answer, or half a list")
	errMessageTooLarge = fmt.Errorf("a message of more than %d bytes", maxMessageBytes)
)

func dial(ctx context.Context, addr string, deadline time.Time) (net.Conn, error) {
	dialer := net.Dialer{Deadline: deadline, KeepAlive: -1}
	return dialer.DialContext(ctx, "tcp", addr)
}

type dialFunc func(ctx context.Context, addr string, deadline time.Time) (net.Conn, error)

// run makes the call and tells what it says and its end, until ctx ends.
func (c *call) run(ctx context.Context, dial dialFunc) {
	err := c.stream(ctx, dial)
	c.send(ctx, event{call: c, err: fmt.Errorf("watch: %w", err)})
}

func (c *call) send(ctx context.Context, event event) {
	select {
	case c.events <- event:
	case <-ctx.Done():
	}
}

// follow tells what the call says until it ends.
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
	body, err := c.sendRequest(buffered, now.Add(headerTimeout))
	if err != nil {
		return err
	}
	watched.headerReceived = true
	c.send(ctx, event{call: c, progress: progressHeader})
	reader := &byteReader{body: body, onFirstByte: func() { c.send(ctx, event{call: c, progress: progressFirstByte}) }}
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

// ask sends the request and returns the answer's body.
func (c *call) sendRequest(conn *bufconn.Conn, deadline time.Time) (io.Reader, error) {
	if err := conn.SetDeadline(deadline); err != nil {
		return nil, err
	}
	err := conn.PrintfLine("GET /v1/endpoints?watch=1&from=%d HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n",
		c.fromGeneration, c.addr)
	if err != nil {
		return nil, err
	}
	status, err := conn.ReadLine()
	if err != nil {
		return nil, err
	}
	if version, code, _ := strings.Cut(status, " "); !strings.HasPrefix(version, "HTTP/1.") || !strings.HasPrefix(code, "200") {
		return nil, fmt.Errorf("answered %.60q", status)
	}
	header, err := conn.ReadMIMEHeader()
	if err != nil {
		return nil, fmt.Errorf("head: %w", err)
	}
	if strings.EqualFold(header.Get("Transfer-Encoding"), "chunked") {
		return httputil.NewChunkedReader(conn.R), nil
	}
	return conn.R, nil
}

// live allows each read of a watch the time in which it says something.
type heartbeatConn struct {
	net.Conn
	headerReceived bool // the head has come
}

func (c *heartbeatConn) Read(p []byte) (int, error) {
	if c.headerReceived {
		if err := c.SetReadDeadline(time.Now().Add(heartbeatTimeout)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Read(p)
}

// oneByOne asks for a byte at a time, and for no more than a message may have. Asked for
// more bytes, the reader of chunks waits for the rest of a chunk while it holds a whole list.
type byteReader struct {
	body        io.Reader
	remaining   int
	onFirstByte func() // told of the first byte that is no white space; nil then
}

func (r *byteReader) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, errMessageTooLarge
	}
	n, err := r.body.Read(p[:min(len(p), 1)])
	r.remaining -= n
	if r.onFirstByte != nil && n > 0 && p[0] > ' ' {
		r.onFirstByte()
		r.onFirstByte = nil
	}
	return n, err
}
