package store

import (
	"bytes"
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
	for deadline := time.Now().Add(max(o.LockTimeout, 20*time.Millisecond)); ; time.Sleep(5 * time.Millisecond) {
		err := unix.Flock(int(f.Fd()), how|unix.LOCK_NB)
		if err == nil {
			return f, nil
		}
		if !errors.Is(err, unix.EWOULDBLOCK) || time.Now().After(deadline) {
			_ = f.Close()
			if errors.Is(err, unix.EWOULDBLOCK) {
				err = ErrLocked
			}
			return nil, err
		}
	}
}

// inspect tells whether the file has a sound head and a sound tree below it. An
// empty one is sound: it becomes a store. bbolt checks this too, but in a goroutine
// of its own where what it finds ends the process.
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
		return fmt.Errorf("%w: not a regular file", ErrUnrecognized)
	}
	magic := false
	best, w := uint64(0), walk{f: f}
	root := uint64(0)
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
		if tx := binary.NativeEndian.Uint64(b[48:]); w.pages == 0 || tx > best {
			best, root = tx, binary.NativeEndian.Uint64(b[16:])
			w.pages, w.size = binary.NativeEndian.Uint64(b[40:]), uint64(binary.NativeEndian.Uint32(b[8:]))
		}
	}
	switch {
	case !magic:
		return ErrUnrecognized
	case w.pages == 0 || w.size < 512 || w.size > 1<<20:
		return fmt.Errorf("%w: neither head is whole", ErrCorrupt)
	case uint64(info.Size())/w.size < w.pages:
		return fmt.Errorf("%w: %d bytes, its head says %d pages of %d", ErrCorrupt, info.Size(), w.pages, w.size)
	}
	w.seen = make([]uint64, w.pages/64+1)
	if err := w.page(root, 0); err != nil {
		return fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return nil
}

// The kinds of page, and a leaf's mark of a bucket.
const (
	branchPage = 0x01
	leafPage   = 0x02
	element    = 16
	isBucket   = 0x01
	deepest    = 64
)

// walk visits the tree of buckets. Values have no checksum in bbolt; what is
// checked is all that it follows: ids, kinds, counts, places, order of keys, and
// that no page hangs in two places.
type walk struct {
	f           *os.File
	size, pages uint64
	seen        []uint64 // a bit for each page
}

func (w *walk) page(id uint64, depth int) error {
	if id < 2 || id >= w.pages || depth > deepest {
		return fmt.Errorf("page %d at depth %d: there are %d pages", id, depth, w.pages)
	}
	head := make([]byte, pageHead)
	if _, err := w.f.ReadAt(head, int64(id*w.size)); err != nil {
		return err
	}
	more := uint64(binary.NativeEndian.Uint32(head[12:]))
	if got := binary.NativeEndian.Uint64(head); got != id || more >= w.pages-id {
		return fmt.Errorf("page %d calls itself %d and goes on for %d", id, got, more)
	}
	for p := id; p <= id+more; p++ {
		if w.seen[p/64]&(1<<(p%64)) != 0 {
			return fmt.Errorf("page %d hangs in two places", p)
		}
		w.seen[p/64] |= 1 << (p % 64)
	}
	b := make([]byte, (more+1)*w.size)
	if _, err := w.f.ReadAt(b, int64(id*w.size)); err != nil {
		return err
	}
	return w.elements(b, id, depth)
}

// elements checks a page's elements, or those of a bucket that is kept in its
// parent's leaf.
func (w *walk) elements(b []byte, id uint64, depth int) error {
	if len(b) < pageHead || depth > deepest {
		return fmt.Errorf("page %d: a bucket of %d bytes", id, len(b))
	}
	kind, count := binary.NativeEndian.Uint16(b[8:]), int(binary.NativeEndian.Uint16(b[10:]))
	if kind != branchPage && kind != leafPage || pageHead+count*element > len(b) || kind == branchPage && count == 0 {
		return fmt.Errorf("page %d: kind %#x with %d elements", id, kind, count)
	}
	var last []byte
	for i := range count {
		at := pageHead + i*element
		e := b[at:]
		cut := func(pos, n uint64) ([]byte, error) {
			if from := uint64(at) + pos; from <= uint64(len(b)) && n <= uint64(len(b))-from {
				return b[from : from+n], nil
			}
			return nil, fmt.Errorf("page %d: element %d lies outside", id, i)
		}
		word := func(at int) uint64 { return uint64(binary.NativeEndian.Uint32(e[at:])) }
		pos, size := word(0), word(4)
		if kind == leafPage {
			pos, size = word(4), word(8)
		}
		key, err := cut(pos, size)
		if err != nil {
			return err
		}
		if i > 0 && bytes.Compare(last, key) >= 0 {
			return fmt.Errorf("page %d: keys %d and %d are out of order", id, i-1, i)
		}
		last = key
		if kind == branchPage {
			if err := w.page(binary.NativeEndian.Uint64(e[8:]), depth+1); err != nil {
				return err
			}
			continue
		}
		value, err := cut(pos+size, word(12))
		if err != nil {
			return err
		}
		if flags := word(0); flags&^isBucket != 0 {
			return fmt.Errorf("page %d: element %d has flags %#x", id, i, flags)
		} else if flags == 0 {
			continue
		}
		if len(value) < 16 {
			return fmt.Errorf("page %d: element %d is a bucket of %d bytes", id, i, len(value))
		}
		if root := binary.NativeEndian.Uint64(value); root != 0 {
			err = w.page(root, depth+1)
		} else {
			err = w.elements(value[16:], id, depth+1)
		}
		if err != nil {
			return err
		}
	}
	return nil
}
