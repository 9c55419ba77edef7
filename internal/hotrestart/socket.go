package hotrestart

import (
	"fmt"
	"net"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// withSocketAddr calls use with the address of the socket called name in dir. The length of a
// socket address is limited, so the address refers to the directory by its descriptor. The
// address is valid until use returns.
func withSocketAddr(dir, name string, use func(addr *net.UnixAddr) error) error {
	directory, err := os.Open(dir)
	if err != nil {
		return fmt.Errorf("hot restart: %w", err)
	}
	defer directory.Close()
	path := filepath.Join(fmt.Sprintf("/proc/self/fd/%d", directory.Fd()), socketPrefix+name)
	if err := use(&net.UnixAddr{Name: path, Net: network}); err != nil {
		return fmt.Errorf("hot restart: socket %s%s in %s: %w", socketPrefix, name, dir, err)
	}
	return nil
}

// isSameUser reports whether the peer process runs as the user of this process.
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
