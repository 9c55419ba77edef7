package roster

import (
	"context"
	"encoding/json"
	"errors"
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
	// heartbeat is how often a watch says something; silence beyond it, and
	// some room for a late one, is a dead watch. A cut-off discovery gives no
	// other sign, and what it has to tell counts as told after 6 s.
	heartbeat = 2 * time.Second
	dead      = heartbeat + 600*time.Millisecond
	// answered is how long a call may wait for its head: discovery serves one
	// at a time and drops those that waited a second.
	answered = 1500 * time.Millisecond
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
	sink Sink
	want chan struct{}
	from int64 // the last generation seen at the address followed; Run's own

	mu   sync.Mutex
	addr string
	stop context.CancelFunc // ends the watch that runs, as another is to be followed
}

// New returns a Watch of the discovery service at addr.
func New(addr string, sink Sink) *Watch {
	return &Watch{addr: addr, sink: sink, want: make(chan struct{}, 1), stop: func() {}}
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
	d := net.Dialer{Deadline: time.Now().Add(answered), KeepAlive: -1}
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return fmt.Errorf("watch: %w", err)
	}
	l := leg.New(conn)
	defer l.Release()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	body, err := w.call(l, addr, time.Now().Add(answered))
	if err != nil {
		return fmt.Errorf("watch: %w", err)
	}
	live := &liveReader{conn: conn, body: body}
	messages := json.NewDecoder(live)
	for {
		var m message
		live.left = largest
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

// liveReader allows each read the time in which a live watch says something,
// and each message its largest size.
type liveReader struct {
	conn net.Conn
	body io.Reader
	left int
}

var errLarge = errors.New("message too large")

func (r *liveReader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, errLarge
	}
	if err := r.conn.SetReadDeadline(time.Now().Add(dead)); err != nil {
		return 0, err
	}
	n, err := r.body.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, err
}
