// Package instancelock lets two processes that are one node, a process and its successor,
// detect each other: whether the sibling process is alive, whether it serves, and how many
// sockets it uses.
//
// They share a file. Byte range locks on it (fcntl's open file description locks) say who is
// alive and who serves, since a lock ends with its process; the file's bytes hold only the
// counts of sockets. The layout is shared with processes of other versions and does not change:
//
//	bytes 0 and 1    locked by the process in that slot while it lives
//	bytes 2 and 3    locked by it while it serves
//	bytes 8 and 16   each slot's count of sockets, 8 bytes, little endian
//
// The package starts no goroutines, and none of its calls but Acquire waits.
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
	// slotCount is how many processes of a node may be alive at once.
	slotCount = 2
	// retryInterval is the pause between two attempts to lock a slot.
	retryInterval = 20 * time.Millisecond
	// countBytes is the size of a count of sockets in the file.
	countBytes = 8
	// maxSocketCount bounds what is believed of the sibling's count, whatever the file says.
	maxSocketCount = 1 << 20
	// fileMode keeps other users out.
	fileMode = 0o600
)

// ErrNoFreeSlot is returned where two processes of the node are alive already.
var ErrNoFreeSlot = errors.New("two processes of this node are alive already")

// Lock is a process's slot: a lock on a byte of a file that both processes share. What an
// earlier process left in the file counts for nothing: only a lock, which ends with its
// process, does. A nil Lock is that of a process which shares with nobody; of its methods
// Name and SiblingName may not be called. They may be called by several goroutines.
type Lock struct {
	file     *os.File
	baseName string
	slot     int64
}

// Acquire locks a slot of the node that listens at an address, in dir, and waits for one
// until the deadline: the last process but one may still be ending. If none becomes free,
// the error is an ErrNoFreeSlot.
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

// openShared opens or creates the file, which must be a regular one of this user's: dir may
// be open to others, who could have put something else there.
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

// lockRange is one byte of the file: the first slotCount bytes stand for the processes that
// are alive, those behind them for the processes that serve.
func lockRange(kind int16, start int64) *unix.Flock_t {
	return &unix.Flock_t{Type: kind, Start: start, Len: 1}
}

// servingByte is locked by the process in a slot while it serves.
func servingByte(slot int64) int64 { return slotCount + slot }

// socketCountOffset is where a slot's count stands, behind all the bytes that are locked.
func socketCountOffset(slot int64) int64 { return countBytes * (1 + slot) }

func (l *Lock) siblingSlot() int64 { return 1 - l.slot }

func (l *Lock) writeSocketCount(sockets int) {
	var count [countBytes]byte
	binary.LittleEndian.PutUint64(count[:], uint64(sockets))
	_, _ = l.file.WriteAt(count[:], socketCountOffset(l.slot)) // a full disk must not end the node
}

// Name is this process's in the shared directory.
func (l *Lock) Name() string { return fmt.Sprintf("%s.%d", l.baseName, l.slot) }

// SiblingName is the sibling process's in the shared directory.
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

// SetServing shows the sibling process whether this one serves, for as long as it is alive.
// A process that drains calls it before it asks IsSiblingServing: then of two that drain at
// once at least one sees that the other does, and the clients are never left to nobody.
func (l *Lock) SetServing(serving bool) {
	if l == nil {
		return
	}
	kind := int16(unix.F_UNLCK)
	if serving {
		kind = unix.F_WRLCK
	}
	_ = unix.FcntlFlock(l.file.Fd(), unix.F_OFD_SETLK, lockRange(kind, servingByte(l.slot))) // nobody else asks for it
}

// IsSiblingServing reports whether the sibling process serves, so that this one need not.
func (l *Lock) IsSiblingServing() bool {
	return l != nil && l.isLockedByOther(servingByte(l.siblingSlot()))
}

// ExchangeSocketCounts writes how many sockets this process uses, and returns how many the
// sibling process does, if it is alive.
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

// Close gives the slot up.
func (l *Lock) Close() {
	if l != nil {
		_ = l.file.Close()
	}
}
