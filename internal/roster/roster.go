package roster

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http/httputil"
	"strings"
	"sync"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/leg"
)

const (
	// heartbeat is how often a watch says something; without a word for dead it is broken.
	// A cut-off discovery gives no other sign. A word may come a quarter late; what then
	// stays of the 6 s after which all that was missed counts as told is for two whole
	// calls and the pauses of who decides when to ask: docs/notes/lists.md has the sum.
	heartbeat = 2 * time.Second
	dead      = heartbeat + heartbeat/4
	// answered is how long a call may take, from its dial to the end of the answer's head:
	// discovery serves one at a time and drops those that have waited a second.
	answered = 1100 * time.Millisecond
	// largest bounds one message.
	largest = 8 << 20
)

// Sink is told what the roster says, in order.
type Sink interface {
	Listed(u Update)
}

// Watch follows discovery. It runs one watch at a time, each when it is asked
// for: what fails is told, and somebody else decides when to ask again.
type Watch struct {
	// Dial connects to an address by a deadline, over TCP unless a test has another way.
	// Set before Run.
	Dial func(ctx context.Context, addr string, deadline time.Time) (net.Conn, error)

	sink Sink
	want chan struct{}
	from int64 // the last generation seen at the address followed; Run's own

	mu   sync.Mutex
	addr string
	stop context.CancelFunc // ends the watch that runs, as another is to be followed
}

// New returns a Watch of the discovery service at addr.
func New(addr string, sink Sink) *Watch {
	return &Watch{Dial: dial, addr: addr, sink: sink, want: make(chan struct{}, 1), stop: func() {}}
}

func dial(ctx context.Context, addr string, deadline time.Time) (net.Conn, error) {
	d := net.Dialer{Deadline: deadline, KeepAlive: -1}
	return d.DialContext(ctx, "tcp", addr)
}

// Subscribe asks for a watch.
func (w *Watch) Subscribe() {
	select {
	case w.want <- struct{}{}:
	default:
	}
}

// Follow goes over to the discovery service at addr at once. The list stays; the
// end of the old watch is no failure and is not told.
func (w *Watch) Follow(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if addr != w.addr {
		w.addr = addr
		w.stop()
		w.Subscribe()
	}
}

// Run serves subscriptions until ctx ends. It starts with the list that the
// node had last, which may be old.
func (w *Watch) Run(ctx context.Context, known Update) {
	known.Kind = balance.ListCached
	w.from = known.Generation
	w.sink.Listed(known)
	for last := w.address(); ; {
		select {
		case <-ctx.Done():
			return
		case <-w.want:
		}
		watch, addr := w.begin(ctx)
		if addr != last {
			// Generations of two services need not be of one count: asked from
			// the old one's, the new one might leave changes out.
			last, w.from = addr, 0
		}
		err := w.follow(watch, addr)
		if ctx.Err() != nil {
			return
		}
		if w.end(watch) {
			slog.Warn("watch ended", "discovery", addr, "err", err)
			w.sink.Listed(Update{Kind: balance.ListFailed, Generation: w.from})
		}
	}
}

func (w *Watch) address() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.addr
}

// begin returns the context of a new watch, and the address to ask.
func (w *Watch) begin(ctx context.Context) (context.Context, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	ctx, w.stop = context.WithCancel(ctx)
	return ctx, w.addr
}

// end tells whether the watch has failed rather than given way to another. After
// a failure only who is told of it asks again: what was asked for before is void,
// or two calls would follow without a pause.
func (w *Watch) end(watch context.Context) (failed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if watch.Err() != nil {
		return false
	}
	w.stop()
	select {
	case <-w.want:
	default:
	}
	return true
}

// follow makes one watch and passes on what it says until it ends.
func (w *Watch) follow(ctx context.Context, addr string) error {
	deadline := time.Now().Add(answered)
	conn, err := w.Dial(ctx, addr, deadline)
	if err != nil {
		return fmt.Errorf("watch: %w", err)
	}
	live := &live{Conn: conn}
	l := leg.New(live)
	defer l.Release()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	body, err := w.call(l, addr, deadline)
	if err != nil {
		return fmt.Errorf("watch: %w", err)
	}
	live.watched = true
	bytes := &oneByOne{body: body}
	messages := json.NewDecoder(bytes)
	for {
		var m message
		bytes.left = largest
		if err := messages.Decode(&m); err != nil {
			return fmt.Errorf("watch: %w", err)
		}
		u, err := m.update()
		if err != nil {
			return fmt.Errorf("watch: %w", err)
		}
		w.from = u.Generation
		w.sink.Listed(u)
	}
}

// call sends the request and returns the answer's body.
func (w *Watch) call(l *leg.Leg, addr string, deadline time.Time) (io.Reader, error) {
	if err := l.SetDeadline(deadline); err != nil {
		return nil, err
	}
	err := l.PrintfLine("GET /v1/endpoints?watch=1&from=%d HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n",
		w.from, addr)
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
	body io.Reader
	left int
}

func (r *oneByOne) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, errLarge
	}
	n, err := r.body.Read(p[:min(len(p), 1)])
	r.left -= n
	return n, err
}

var errLarge = fmt.Errorf("a message of more than %d bytes", largest)
