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
	addr string
	sink Sink
	want chan struct{}
	from int64 // the last generation seen
}

// New returns a Watch of the discovery service at addr.
func New(addr string, sink Sink) *Watch {
	return &Watch{addr: addr, sink: sink, want: make(chan struct{}, 1)}
}

// Subscribe asks for a watch.
func (w *Watch) Subscribe() {
	select {
	case w.want <- struct{}{}:
	default:
	}
}

// Run serves subscriptions until ctx ends. It starts with the list that the
// node had last, which may be old.
func (w *Watch) Run(ctx context.Context, known Update) {
	known.Kind = balance.ListCached
	w.from = known.Generation
	w.sink.Listed(known)
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.want:
		}
		err := w.follow(ctx)
		if ctx.Err() != nil {
			return
		}
		slog.Warn("watch ended", "err", err)
		w.sink.Listed(Update{Kind: balance.ListFailed, Generation: w.from})
	}
}

// follow makes one watch and passes on what it says until it ends.
func (w *Watch) follow(ctx context.Context) error {
	d := net.Dialer{Deadline: time.Now().Add(answered), KeepAlive: -1}
	conn, err := d.DialContext(ctx, "tcp", w.addr)
	if err != nil {
		return fmt.Errorf("watch: %w", err)
	}
	l := leg.New(conn)
	defer l.Release()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	body, err := w.call(l, time.Now().Add(answered))
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
func (w *Watch) call(l *leg.Leg, deadline time.Time) (io.Reader, error) {
	if err := l.SetDeadline(deadline); err != nil {
		return nil, err
	}
	err := l.PrintfLine("GET /v1/endpoints?watch=1&from=%d HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n",
		w.from, w.addr)
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
