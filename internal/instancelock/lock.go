// Package instancelock lets the two processes of a node, a process and its successor, detect
// each other: whether the sibling process is alive, whether it serves, and how many sockets it
// uses.
//
// The processes share a file. Byte range locks on it (open file description locks of fcntl)
// show which process is alive and which serves, as the kernel releases a lock when its process
// ends. The contents of the file are only the socket counts. Processes of other versions use
// the same layout, so it does not change:
//
//	bytes 0 and 1    locked by the process in slot 0 or 1 while it is alive
//	bytes 2 and 3    locked by the process in slot 0 or 1 while it serves
//	bytes 8 and 16   start of the socket count of slot 0 or 1: 8 bytes, little endian
//
// The package starts no goroutines. Only Acquire waits.
package instancelock

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// slotCount is the number of processes of a node that may be alive at the same time.
	slotCount = 2
	// retryInterval is the pause between two attempts to lock a slot.
	retryInterval = 20 * time.Millisecond
	// countBytes is the size of a socket count in the file.
	countBytes = 8
	// maxSocketCount bounds the sibling's count, as the file may contain any value.
	maxSocketCount = 1 << 20
	// fileMode denies access to other users.
	fileMode = 0o600
)

// ErrNoFreeSlot means that two processes of the node are alive already.
var ErrNoFreeSlot = errors.New("two processes of this node are alive already")

// Lock is the slot of a process: a lock on a byte of the file that both processes share. Data
// that an ended process left in the file is ignored, as only a process that is alive holds a
// lock. A nil Lock is that of a process without a sibling; Name and SiblingName must not be
// called on it. The methods are safe for concurrent use.
type Lock struct {
	file     *os.File
	baseName string
	slot     int64
}

// Acquire locks a slot of the node that listens at the given address. The file is in dir. If
// both slots are taken, Acquire waits until the deadline, as the process before the sibling may
// still be ending. If no slot becomes free, the error wraps ErrNoFreeSlot.
func Acquire(dir, listen string, deadline time.Time) (*Lock, error) {
	name := "coralrelay-" + strings.NewReplacer(":", "-", "/", "-", "[", "", "]", "", "%", "-").Replace(listen)
	path := filepath.Join(dir, name)
	file, err := openShared(path)
	if err != nil {
		return nil, err
	}
	for {
		for slot := range int64(slotCount) {
			if unix.FcntlFlock(file.Fd(), unix.F_OFD_SETLK, lockRange(unix.F_WRLCK, slot)) == nil {
				lock := &Lock{file: file, baseName: name, slot: slot}
				lock.writeSocketCount(0)
				return lock, nil
			}
		}
		if !time.Now().Before(deadline) {
			_ = file.Close()
			return nil, fmt.Errorf("instance lock %s: %w", path, ErrNoFreeSlot)
		}
		time.Sleep(retryInterval)
	}
}

// openShared opens or creates the file. The file must be a regular file of this user: other
// users may have write access to dir and could have created something else there.
func openShared(path string) (*os.File, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|unix.O_NONBLOCK|unix.O_NOFOLLOW, fileMode)
	if err != nil {
		return nil, fmt.Errorf("instance lock: %w", err)
	}
	info, err := file.Stat()
	if err != nil || !info.Mode().IsRegular() || info.Sys().(*syscall.Stat_t).Uid != uint32(os.Getuid()) {
		_ = file.Close()
		return nil, fmt.Errorf("instance lock: %s is not a regular file of this user", path)
	}
	return file, nil
}

// lockRange returns the lock description of one byte of the file. The first slotCount bytes are
// locked by the processes that are alive, the next slotCount bytes by those that serve.
func lockRange(kind int16, start int64) *unix.Flock_t {
	return &unix.Flock_t{Type: kind, Start: start, Len: 1}
}

// servingByte returns the offset of the byte that the process in a slot locks while it serves.
func servingByte(slot int64) int64 { return slotCount + slot }

// socketCountOffset returns the offset of a slot's socket count, which is after all locked bytes.
func socketCountOffset(slot int64) int64 { return countBytes * (1 + slot) }

func (l *Lock) siblingSlot() int64 { return 1 - l.slot }

func (l *Lock) writeSocketCount(sockets int) {
	var count [countBytes]byte
	binary.LittleEndian.PutUint64(count[:], uint64(sockets))
	// An error is ignored, as a full disk must not end the node.
	_, _ = l.file.WriteAt(count[:], socketCountOffset(l.slot))
}

// Name returns the name of this process in the shared directory.
func (l *Lock) Name() string { return fmt.Sprintf("%s.%d", l.baseName, l.slot) }

// SiblingName returns the name of the sibling process in the shared directory.
func (l *Lock) SiblingName() string { return fmt.Sprintf("%s.%d", l.baseName, l.siblingSlot()) }

// IsSiblingAlive reports whether the sibling process is alive.
func (l *Lock) IsSiblingAlive() bool {
	return l != nil && l.isLockedByOther(l.siblingSlot())
}

// isLockedByOther reports whether another process holds the lock on a byte.
func (l *Lock) isLockedByOther(start int64) bool {
	query := lockRange(unix.F_WRLCK, start)
	return unix.FcntlFlock(l.file.Fd(), unix.F_OFD_GETLK, query) == nil && query.Type != unix.F_UNLCK
}

// SetServing publishes whether this process serves. The state ends with the process. A draining
// process must call SetServing(false) before IsSiblingServing: if both processes drain at the
// same time, at least one of them then sees that the other no longer serves, so that clients
// are never left without a serving process.
func (l *Lock) SetServing(serving bool) {
	if l == nil {
		return
	}
	kind := int16(unix.F_UNLCK)
	if serving {
		kind = unix.F_WRLCK
	}
	// The lock cannot conflict, as no other process locks this slot's byte.
	_ = unix.FcntlFlock(l.file.Fd(), unix.F_OFD_SETLK, lockRange(kind, servingByte(l.slot)))
}

// IsSiblingServing reports whether the sibling process serves. If it does, this process does not
// have to.
func (l *Lock) IsSiblingServing() bool {
	return l != nil && l.isLockedByOther(servingByte(l.siblingSlot()))
}

// ExchangeSocketCounts stores the number of sockets that this process uses. It returns the
// number that the sibling process uses, and whether the sibling is alive.
func (l *Lock) ExchangeSocketCounts(own int) (sibling int, alive bool) {
	if l == nil {
		return 0, false
	}
	l.writeSocketCount(own)
	if !l.IsSiblingAlive() {
		return 0, false
	}
	var count [countBytes]byte
	if _, err := l.file.ReadAt(count[:], socketCountOffset(l.siblingSlot())); err != nil {
		return 0, true
	}
	return int(min(binary.LittleEndian.Uint64(count[:]), maxSocketCount)), true
}

// Close releases the slot.
func (l *Lock) Close() {
	if l != nil {
		_ = l.file.Close()
	}
}
