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
	transferTimeout = 500 * time.Millisecond
	// largest bounds a message: what was read and not used, twice, in base64, and the
	// request.
	maxMessageBytes = 8 * bufconn.BufferSize
	// version stands before a name: processes that don't agree on what is said don't meet,
	// and what stands is moved.
	socketPrefix = "handover2-"
)

// What is said besides messages.
const (
	replyPrepared = "prepared"  // the taker's: it holds what was offered
	replyRejected = "not taken" // the taker's: it has none of it
	replyLearned  = "taken"     // the taker's, to what was learned
	commitMessage = "commit"    // the giver's: what was offered is the taker's from now on
)

// lesson is a message without connections.
type learnedStateMessage struct {
	Learned *balance.LearnedState `json:"Learned"`
}

// servers is how many a message tells of: a fleet may be larger than a message.
const maxServersPerMessage = 64

// socket finds the address of a name in a folder. It must be short, so it names the folder
// by its descriptor.
func withSocketAddr(dir, name string, use func(addr *net.UnixAddr) error) error {
	directory, err := os.Open(dir)
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	defer directory.Close()
	path := filepath.Join(fmt.Sprintf("/proc/self/fd/%d", directory.Fd()), socketPrefix+name)
	if err := use(&net.UnixAddr{Name: path, Net: "unixpacket"}); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

// own tells whether the other side is of this process's user.
func isSameUser(conn *net.UnixConn) (same bool) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	_ = raw.Control(func(fd uintptr) {
		credentials, err := unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED)
		same = err == nil && int(credentials.Uid) == os.Getuid()
	})
	return same
}

// with lends a connection's descriptor.
func withDescriptor(conn net.Conn, use func(fd int) error) error {
	withSyscalls, ok := conn.(syscall.Conn)
	if !ok {
		return errors.New("a connection has no descriptor")
	}
	raw, err := withSyscalls.SyscallConn()
	if err != nil {
		return err
	}
	controlErr := raw.Control(func(fd uintptr) { err = use(int(fd)) })
	return errors.Join(controlErr, err)
}
