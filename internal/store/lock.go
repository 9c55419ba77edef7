package store

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// minLockTimeout is how long a lock is waited for at least.
	minLockTimeout = 20 * time.Millisecond
	// lockRetryInterval is the pause before a lock is tried again.
	lockRetryInterval = 5 * time.Millisecond
	// maxOwnerBytes bounds what an error quotes of an owner file.
	maxOwnerBytes = 200

	filePermissions = 0o600
	dirPermissions  = 0o700
)

// acquireLock opens the file, creating it if it may be written, and locks it as bbolt does.
// Closing the file releases the lock.
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

// lockTimeout is how long another process's lock is waited for.
func (o Options) lockTimeout() time.Duration { return max(o.LockTimeout, minLockTimeout) }

// ownerPath names the text file beside a store that says which process has it open. It is
// for people; the lock is what keeps others out.
func ownerPath(path string) string { return path + ".owner" }

func writeOwner(path string) {
	text := fmt.Sprintf("pid %d (%s)\n", os.Getpid(), filepath.Base(os.Args[0]))
	_ = os.WriteFile(ownerPath(path), []byte(text), filePermissions)
}

// readOwner returns what is known of the process that has the store open; "" if nothing is.
func readOwner(path string) string {
	text, err := os.ReadFile(ownerPath(path))
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(text[:min(len(text), maxOwnerBytes)]))
}
