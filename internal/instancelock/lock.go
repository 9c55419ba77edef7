// Package beside tells two processes that are one node, the old one and its
// successor, about each other: whether the other lives, and how many sockets it uses.
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
	// places are the processes that may live at once.
	slotCount = 2
	// again is the pause between two looks for a free place.
	retryInterval = 20 * time.Millisecond
)

// ErrFull is told where two processes live already.
var ErrNoFreeSlot = errors.New("two processes of this node live already")

// Place is one process's: a lock on a byte of a file in a folder that both share. What an
// earlier process left in the file counts for nothing: only a lock, which ends with its
// process, does. A nil Place is that of a process which shares with nobody.
type Lock struct {
	file     *os.File
	baseName string
	slot     int64
}

// Take takes a place of the node that listens at an address, in dir, and waits for one
// until the deadline: the last but one process may still be ending.
func Acquire(dir, listen string, deadline time.Time) (*Lock, error) {
	name := "coralrelay-" + strings.NewReplacer(":", "-", "/", "-", "[", "", "]", "", "%", "-").Replace(listen)
	path := filepath.Join(dir, name)
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|unix.O_NONBLOCK|unix.O_NOFOLLOW, 0o600)
	if err != nil {
		return nil, fmt.Errorf("beside: %w", err)
	}
	if info, err := file.Stat(); err != nil || !info.Mode().IsRegular() || info.Sys().(*syscall.Stat_t).Uid != uint32(os.Getuid()) {
		_ = file.Close()
		return nil, fmt.Errorf("beside: %s is no file of this user's", path)
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
			return nil, fmt.Errorf("beside: %s: %w", path, ErrNoFreeSlot)
		}
		time.Sleep(retryInterval)
	}
}

// lock names one byte: the first ones stand for the places, those behind them for the
// places whose processes take clients.
func lockRange(kind int16, start int64) *unix.Flock_t {
	return &unix.Flock_t{Type: kind, Start: start, Len: 1}
}

// at is where a place's count stands, behind all the bytes that are locked.
func socketCountOffset(slot int64) int64 { return 8 * (1 + slot) }

func (l *Lock) writeSocketCount(sockets int) {
	var count [8]byte
	binary.LittleEndian.PutUint64(count[:], uint64(sockets))
	_, _ = l.file.WriteAt(count[:], socketCountOffset(l.slot)) // a full disk must not end the node
}

// Mine names this process in the folder, and Other the process beside it.
func (l *Lock) Name() string        { return fmt.Sprintf("%s.%d", l.baseName, l.slot) }
func (l *Lock) SiblingName() string { return fmt.Sprintf("%s.%d", l.baseName, 1-l.slot) }

// Lives tells whether the other process does.
func (l *Lock) IsSiblingAlive() bool {
	if l == nil {
		return false
	}
	return l.isLockedByOther(1 - l.slot)
}

// held tells whether another process holds the lock on a byte.
func (l *Lock) isLockedByOther(start int64) bool {
	query := lockRange(unix.F_WRLCK, start)
	return unix.FcntlFlock(l.file.Fd(), unix.F_OFD_GETLK, query) == nil && query.Type != unix.F_UNLCK
}

// Serves tells the other process whether this one takes clients, for as long as it lives.
// A process that leaves tells so before it asks Succeeded: then of two that leave at once
// one at least learns it of the other, and the clients are never left to nobody.
func (l *Lock) SetServing(serving bool) {
	if l == nil {
		return
	}
	kind := int16(unix.F_UNLCK)
	if serving {
		kind = unix.F_WRLCK
	}
	_ = unix.FcntlFlock(l.file.Fd(), unix.F_OFD_SETLK, lockRange(kind, slotCount+l.slot)) // nobody else asks for it
}

// Succeeded tells whether the other process takes clients, so that this one need not.
func (l *Lock) IsSiblingServing() bool { return l != nil && l.isLockedByOther(slotCount+1-l.slot) }

// Share tells how many sockets this process uses, and returns how many the other
// does, if it lives.
func (l *Lock) ExchangeSocketCounts(own int) (sibling int, alive bool) {
	if l == nil {
		return 0, false
	}
	l.writeSocketCount(own)
	var count [8]byte
	if !l.IsSiblingAlive() {
		return 0, false
	}
	if _, err := l.file.ReadAt(count[:], socketCountOffset(1-l.slot)); err != nil {
		return 0, true
	}
	return int(min(binary.LittleEndian.Uint64(count[:]), 1<<20)), true // whatever stands there, it is no larger
}

// Close gives the place up.
func (l *Lock) Close() {
	if l != nil {
		_ = l.file.Close()
	}
}
