// Package handover passes standing connections from a process to its successor, over a
// Unix socket, as a commit in two phases. The giver offers a connection: one message with
// the two sockets in it. The taker says that it is prepared, and neither reads nor writes
// them yet. The giver then commits, and only that makes them the taker's: whatever is late
// or lost before it, they are the giver's alone. Messages without sockets tell what the
// process has learned of its fleet.
package hotrestart

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"coralrelay/balance"
	"coralrelay/internal/bufconn"
)

const (
	// within is how long one connection may take, its wait for its turn included: its
	// caller is not read meanwhile, and a line may be held back for a second. The other
	// side does no I/O of its own; one that takes longer is about to fail.
	within = 500 * time.Millisecond
	// largest bounds a message: what was read and not used, twice, in base64, and the
	// request.
	largest = 8 * bufconn.BufferSize
	// version stands before a name: processes that don't agree on what is said don't meet,
	// and what stands is moved.
	version = "handover2-"
)

// What is said besides messages.
const (
	prepared = "prepared"  // the taker's: it holds what was offered
	kept     = "not taken" // the taker's: it has none of it
	taken    = "taken"     // the taker's, to what was learned
	commit   = "commit"    // the giver's: what was offered is the taker's from now on
)

// lesson is a message without connections.
type lesson struct {
	Learned *balance.LearnedState `json:"Learned"`
}

// servers is how many a message tells of: a fleet may be larger than a message.
const servers = 64

// socket finds the address of a name in a folder. It must be short, so it names the folder
// by its descriptor.
func socket(dir, name string, then func(addr *net.UnixAddr) error) error {
	folder, err := os.Open(dir)
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	defer folder.Close()
	path := filepath.Join(fmt.Sprintf("/proc/self/fd/%d", folder.Fd()), version+name)
	if err := then(&net.UnixAddr{Name: path, Net: "unixpacket"}); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

// own tells whether the other side is of this process's user.
func own(conn *net.UnixConn) (yes bool) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	_ = raw.Control(func(fd uintptr) {
		cred, err := unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED)
		yes = err == nil && int(cred.Uid) == os.Getuid()
	})
	return yes
}

// with lends a connection's descriptor.
func with(conn net.Conn, f func(fd int) error) error {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return errors.New("a connection has no descriptor")
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	inner := raw.Control(func(fd uintptr) { err = f(int(fd)) })
	return errors.Join(inner, err)
}
