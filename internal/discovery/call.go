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
	heartbeat = 2 * time.Second
	dead      = heartbeat + heartbeat/4
	// answered is how long a dial may take, and an answer or a list that has begun, until the
	// next call is made beside it. A dial that is resent after a second comes up within it.
	answered = 1100 * time.Millisecond
	// held is how long a call may wait for its answer's head. Discovery serves one call at a
	// time and itself ends the others (protocol page): as long as it lets them wait, 1 s at
	// one of the sites that lie beside the pages and 3 s at another, nothing is won by going
	// to the end of its queue. No setting tells how long.
	held = 3100 * time.Millisecond
	// largest bounds one message.
	largest = 8 << 20
)

// call is one call of discovery, and the watch that it may become.
type call struct {
	addr string
	from int64
	news chan<- news

	// What follows belongs to the goroutine of Watch.Run.
	stop   context.CancelFunc
	after  after
	due    time.Time        // when its list is late, if it is made after a watch
	late   <-chan time.Time // when it is to be told as failed though it goes on
	failed bool             // it has been
	listed bool             // it is a watch
}

// after is what a call is made after: that says how long its list is waited for.
type after int

const (
	afterStart   after = iota // of the process: time for a second call is left in any case
	afterWatch                // or a move: the time counts from its end, and may be short
	afterFailure              // of a call: discovery may just be back, and have a queue
)

// stage is how far the first message of a call has come.
type stage int

const (
	whole  stage = iota // and all that follow it
	headed              // nothing has come behind the head, and need not: a watch may be quiet
	begun
)

// news is what a call says: how far it has come, a whole message, or its end.
type news struct {
	call   *call
	stage  stage
	update Update
	err    error
}

var (
	errLate  = errors.New("late: no answer, or half a list")
	errLarge = fmt.Errorf("a message of more than %d bytes", largest)
)

func dial(ctx context.Context, addr string, deadline time.Time) (net.Conn, error) {
	d := net.Dialer{Deadline: deadline, KeepAlive: -1}
	return d.DialContext(ctx, "tcp", addr)
}

type dialer func(ctx context.Context, addr string, deadline time.Time) (net.Conn, error)

// run makes the call and tells what it says and its end, until ctx ends.
func (c *call) run(ctx context.Context, dial dialer) {
	err := c.follow(ctx, dial)
	c.tell(ctx, news{call: c, err: fmt.Errorf("watch: %w", err)})
}

func (c *call) tell(ctx context.Context, n news) {
	select {
	case c.news <- n:
	case <-ctx.Done():
	}
}

// follow tells what the call says until it ends.
func (c *call) follow(ctx context.Context, dial dialer) error {
	now := time.Now()
	conn, err := dial(ctx, c.addr, now.Add(answered))
	if err != nil {
		return err
	}
	live := &live{Conn: conn}
	l := bufconn.New(live)
	defer l.Release()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	body, err := c.ask(l, now.Add(held))
	if err != nil {
		return err
	}
	live.watched = true
	c.tell(ctx, news{call: c, stage: headed})
	bytes := &oneByOne{body: body, begun: func() { c.tell(ctx, news{call: c, stage: begun}) }}
	messages := json.NewDecoder(bytes)
	for {
		var m message
		bytes.left = largest
		if err := messages.Decode(&m); err != nil {
			return err
		}
		u, err := m.update()
		if err != nil {
			return err
		}
		c.tell(ctx, news{call: c, update: u})
	}
}

// ask sends the request and returns the answer's body.
func (c *call) ask(l *bufconn.Conn, deadline time.Time) (io.Reader, error) {
	if err := l.SetDeadline(deadline); err != nil {
		return nil, err
	}
	err := l.PrintfLine("GET /v1/endpoints?watch=1&from=%d HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n",
		c.from, c.addr)
	if err != nil {
		return nil, err
	}
	status, err := l.ReadLine()
	if err != nil {
		return nil, err
	}
	if version, code, _ := strings.Cut(status, " "); !strings.HasPrefix(version, "HTTP/1.") || !strings.HasPrefix(code, "200") {
		return nil, fmt.Errorf("answered %.60q", status)
	}
	head, err := l.ReadMIMEHeader()
	if err != nil {
		return nil, fmt.Errorf("head: %w", err)
	}
	if strings.EqualFold(head.Get("Transfer-Encoding"), "chunked") {
		return httputil.NewChunkedReader(l.R), nil
	}
	return l.R, nil
}

// live allows each read of a watch the time in which it says something.
type live struct {
	net.Conn
	watched bool // the head has come
}

func (c *live) Read(p []byte) (int, error) {
	if c.watched {
		if err := c.SetReadDeadline(time.Now().Add(dead)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Read(p)
}

// oneByOne asks for a byte at a time, and for no more than a message may have. Asked for
// more bytes, the reader of chunks waits for the rest of a chunk while it holds a whole list.
type oneByOne struct {
	body  io.Reader
	left  int
	begun func() // told of the first byte that is no white space; nil then
}

func (r *oneByOne) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, errLarge
	}
	n, err := r.body.Read(p[:min(len(p), 1)])
	r.left -= n
	if r.begun != nil && n > 0 && p[0] > ' ' {
		r.begun()
		r.begun = nil
	}
	return n, err
}
