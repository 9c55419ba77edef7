package store

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// minLockTimeout is the lower bound of Options.LockTimeout.
	minLockTimeout = 20 * time.Millisecond
	// lockRetryInterval is the pause between two attempts to lock a file.
	lockRetryInterval = 5 * time.Millisecond
	// maxOwnerBytes bounds how much of an owner file an error quotes.
	maxOwnerBytes = 200

	filePermissions = 0o600
	dirPermissions  = 0o700
)

// acquireLock opens the file and locks it with flock, as bbolt does. Unless options.ReadOnly
// is set, it creates a missing file. Closing the file releases the lock.
func acquireLock(path string, options Options) (*os.File, error) {
	openFlags, lockMode := os.O_RDWR|os.O_CREATE, unix.LOCK_EX
	if options.ReadOnly {
		openFlags, lockMode = os.O_RDONLY, unix.LOCK_SH
	}
	file, err := os.OpenFile(path, openFlags, filePermissions)
	if err != nil {
		return nil, err
	}
	deadline := time.Now().Add(options.lockTimeout())
	for {
		err := unix.Flock(int(file.Fd()), lockMode|unix.LOCK_NB)
		if err == nil {
			return file, nil
		}
		isLocked := errors.Is(err, unix.EWOULDBLOCK)
		if !isLocked || time.Now().After(deadline) {
			_ = file.Close()
			if isLocked {
				return nil, ErrLocked
			}
			return nil, err
		}
		time.Sleep(lockRetryInterval)
	}
}

// lockTimeout returns how long to wait for a lock that another process holds.
func (o Options) lockTimeout() time.Duration { return max(o.LockTimeout, minLockTimeout) }

// ownerPath returns the path of the text file that names the process that has the store
// open. The file is information for operators; only the lock excludes other processes.
func ownerPath(path string) string { return path + ".owner" }

func writeOwner(path string) {
	text := fmt.Sprintf("pid %d (%s)\n", os.Getpid(), filepath.Base(os.Args[0]))
	_ = os.WriteFile(ownerPath(path), []byte(text), filePermissions)
}

// readOwner returns the contents of the owner file, or "" if it cannot be read.
func readOwner(path string) string {
	file, err := os.Open(ownerPath(path))
	if err != nil {
		return ""
	}
	defer func() { _ = file.Close() }()
	text, err := io.ReadAll(io.LimitReader(file, maxOwnerBytes))
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(text))
}
