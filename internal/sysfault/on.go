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

// DialFunc connects to an address by a deadline.
type DialFunc func(ctx context.Context, addr string, deadline time.Time) (net.Conn, error)

// fileVariable names the environment variable with the file that says which calls fail now.
const fileVariable = "CORALRELAY_SYSFAULTS"

// pollInterval is how often the file is read.
const pollInterval = 10 * time.Millisecond

// Faults are the contents of the file, as JSON.
type Faults struct {
	Accept     syscall.Errno `json:"accept"`         // 0 for none
	Connect    syscall.Errno `json:"connect"`        // 0 for none
	ShortIO    bool          `json:"short_io"`       // each read and write does a byte
	WallOffset int64         `json:"wall_offset_ms"` // that the wall clock is ahead
}

var active atomic.Pointer[Faults]

// init reads the file once, so that it counts for the process's start, and then again and again for as
// long as the process runs.
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

// Dial returns a function that fails as the faults say.
func Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, addr string, deadline time.Time) (net.Conn, error) {
		if errno := active.Load().Connect; errno != 0 {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", errno)}
		}
		conn, err := dial(ctx, addr, deadline)
		return wrap(conn), err
	}
}

// Listener returns a listener whose accepts fail as the faults say. What waits is accepted once they don't.
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

// wrap has reads and writes of a connection cut short while the faults say so. All else of it stays.
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

// Write implements net.Conn: as a system call does, which writes a part, but as Go's Write, which goes on
// until all is written.
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

// WallNow returns the time of the wall clock.
func WallNow() time.Time {
	return time.Now().Add(time.Duration(active.Load().WallOffset) * time.Millisecond)
}
