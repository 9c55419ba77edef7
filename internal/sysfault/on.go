//go:build mutation

package sysfault

import (
	"context"
	"encoding/json"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

// DialFunc connects to an address before a deadline.
type DialFunc func(ctx context.Context, addr string, deadline time.Time) (net.Conn, error)

// fileVariable is the environment variable that holds the path of the fault file.
const fileVariable = "CORALRELAY_SYSFAULTS"

// pollInterval is the interval at which the fault file is read.
const pollInterval = 10 * time.Millisecond

// Faults is the content of the fault file, as JSON.
type Faults struct {
	Accept     syscall.Errno `json:"accept"`         // 0 for none
	Connect    syscall.Errno `json:"connect"`        // 0 for none
	ShortIO    bool          `json:"short_io"`       // each system call reads or writes at most one byte
	WallOffset int64         `json:"wall_offset_ms"` // added to the wall clock, in milliseconds
}

var active atomic.Pointer[Faults]

// init reads the fault file once before the process starts its work, so that faults apply to the
// start, and then polls it for as long as the process runs.
func init() {
	active.Store(&Faults{})
	path := os.Getenv(fileVariable)
	if path == "" {
		return
	}
	load(path)
	go func() {
		for range time.Tick(pollInterval) {
			load(path)
		}
	}()
}

func load(path string) {
	raw, err := os.ReadFile(path)
	var faults Faults
	if err == nil && json.Unmarshal(raw, &faults) == nil {
		active.Store(&faults)
	}
}

// Dial returns a function that calls dial, or fails with the active connect error.
func Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, addr string, deadline time.Time) (net.Conn, error) {
		if errno := active.Load().Connect; errno != 0 {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", errno)}
		}
		conn, err := dial(ctx, addr, deadline)
		return wrap(conn), err
	}
}

// Listener returns a listener whose Accept fails with the active accept error. Connections that are
// pending then are accepted when the fault ends.
func Listener(listener net.Listener) net.Listener { return faultyListener{listener} }

type faultyListener struct{ net.Listener }

// Accept implements net.Listener.
func (l faultyListener) Accept() (net.Conn, error) {
	if errno := active.Load().Accept; errno != 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)}
	}
	conn, err := l.Listener.Accept()
	return wrap(conn), err
}

// wrap returns a TCP connection whose reads and writes are cut short while ShortIO is set. All
// other methods are unchanged.
func wrap(conn net.Conn) net.Conn {
	if tcp, ok := conn.(*net.TCPConn); ok {
		return &shortConn{tcp}
	}
	return conn
}

type shortConn struct{ *net.TCPConn }

// Read implements net.Conn.
func (c *shortConn) Read(p []byte) (int, error) {
	if active.Load().ShortIO && len(p) > 1 {
		p = p[:1]
	}
	return c.TCPConn.Read(p)
}

// Write implements net.Conn. With ShortIO each system call writes one byte; as the contract of
// Write requires, it continues until all bytes are written or an error occurs.
func (c *shortConn) Write(p []byte) (written int, err error) {
	for active.Load().ShortIO && len(p)-written > 1 {
		n, err := c.TCPConn.Write(p[written : written+1])
		if written += n; err != nil {
			return written, err
		}
	}
	n, err := c.TCPConn.Write(p[written:])
	return written + n, err
}

// WallNow returns the wall-clock time plus the active offset.
func WallNow() time.Time {
	return time.Now().Add(time.Duration(active.Load().WallOffset) * time.Millisecond)
}
