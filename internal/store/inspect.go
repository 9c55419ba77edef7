package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// bbolt's page head and meta record, as its file format has them (magic and
// version in the first two words of the record). Read here because a file that is
// shorter than its meta record says is mapped all the same, and faults later.
const (
	pageHead  = 16
	metaSize  = 64
	boltMagic = 0xED0CDAED
	boltForm  = 2
)

// lock takes the file's lock for a moment, so that nobody writes meanwhile.
func lock(path string, o Options) (*os.File, error) {
	flag, how := os.O_RDWR|os.O_CREATE, unix.LOCK_EX
	if o.ReadOnly {
		flag, how = os.O_RDONLY, unix.LOCK_SH
	}
	f, err := os.OpenFile(path, flag, 0o600)
	if err != nil {
		return nil, err
	}
	for deadline := time.Now().Add(max(o.Wait, 20*time.Millisecond)); ; time.Sleep(5 * time.Millisecond) {
		err := unix.Flock(int(f.Fd()), how|unix.LOCK_NB)
		if err == nil {
			return f, nil
		}
		if !errors.Is(err, unix.EWOULDBLOCK) || time.Now().After(deadline) {
			_ = f.Close()
			if errors.Is(err, unix.EWOULDBLOCK) {
				err = ErrHeld
			}
			return nil, err
		}
	}
}

// inspect tells whether the file has a sound head and is as long as that says. An
// empty one is sound: it becomes a store.
func inspect(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	info, err := f.Stat()
	if err != nil || info.Size() == 0 {
		return err
	}
	if !info.Mode().IsRegular() {
		return fmt.Errorf("%w: not a regular file", ErrForeign)
	}
	magic := false
	best, pages, size := uint64(0), uint64(0), uint64(0)
	// The second meta record stands one page on; the page's size is in the first,
	// which may be the torn one, so that the usual sizes are tried.
	for _, at := range []int64{0, 4096, 8192, 16384, 65536} {
		b := make([]byte, metaSize)
		if _, err := f.ReadAt(b, at+pageHead); err != nil {
			if errors.Is(err, io.EOF) {
				continue
			}
			return err
		}
		if binary.NativeEndian.Uint32(b) != boltMagic {
			continue
		}
		magic = true
		sum := fnv.New64a()
		_, _ = sum.Write(b[:metaSize-8])
		if binary.NativeEndian.Uint32(b[4:]) != boltForm || sum.Sum64() != binary.NativeEndian.Uint64(b[metaSize-8:]) {
			continue
		}
		if tx := binary.NativeEndian.Uint64(b[48:]); pages == 0 || tx > best {
			best, pages, size = tx, binary.NativeEndian.Uint64(b[40:]), uint64(binary.NativeEndian.Uint32(b[8:]))
		}
	}
	switch {
	case !magic:
		return ErrForeign
	case pages == 0:
		return fmt.Errorf("%w: neither head is whole", ErrTorn)
	case uint64(info.Size()) < pages*size:
		return fmt.Errorf("%w: %d bytes, its head says %d", ErrTorn, info.Size(), pages*size)
	}
	return nil
}
