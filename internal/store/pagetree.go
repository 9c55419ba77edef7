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
	pageHeaderSize    = 16
	metaRecordSize    = 64
	boltMagic         = 0xED0CDAED
	boltFormatVersion = 2
)

// lock takes the file's lock for a moment, so that nobody writes meanwhile.
func acquireLock(path string, options Options) (*os.File, error) {
	openFlags, lockMode := os.O_RDWR|os.O_CREATE, unix.LOCK_EX
	if options.ReadOnly {
		openFlags, lockMode = os.O_RDONLY, unix.LOCK_SH
	}
	file, err := os.OpenFile(path, openFlags, 0o600)
	if err != nil {
		return nil, err
	}
	for deadline := time.Now().Add(max(options.LockTimeout, 20*time.Millisecond)); ; time.Sleep(5 * time.Millisecond) {
		err := unix.Flock(int(file.Fd()), lockMode|unix.LOCK_NB)
		if err == nil {
			return file, nil
		}
		if !errors.Is(err, unix.EWOULDBLOCK) || time.Now().After(deadline) {
			_ = file.Close()
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
func verifyFile(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	info, err := file.Stat()
	if err != nil || info.Size() == 0 {
		return err
	}
	if !info.Mode().IsRegular() {
		return fmt.Errorf("%w: not a regular file", ErrUnrecognized)
	}
	hasMagic := false
	newestTransaction, checker := uint64(0), treeChecker{file: file}
	root := uint64(0)
	// The second meta record stands one page on; the page's size is in the first,
	// which may be the torn one, so that the usual sizes are tried.
	for _, offset := range []int64{0, 4096, 8192, 16384, 65536} {
		record := make([]byte, metaRecordSize)
		if _, err := file.ReadAt(record, offset+pageHeaderSize); err != nil {
			if errors.Is(err, io.EOF) {
				continue
			}
			return err
		}
		if binary.NativeEndian.Uint32(record) != boltMagic {
			continue
		}
		hasMagic = true
		checksum := fnv.New64a()
		_, _ = checksum.Write(record[:metaRecordSize-8])
		if binary.NativeEndian.Uint32(record[4:]) != boltFormatVersion || checksum.Sum64() != binary.NativeEndian.Uint64(record[metaRecordSize-8:]) {
			continue
		}
		if transaction := binary.NativeEndian.Uint64(record[48:]); checker.pageCount == 0 || transaction > newestTransaction {
			newestTransaction, root = transaction, binary.NativeEndian.Uint64(record[16:])
			checker.pageCount, checker.pageSize = binary.NativeEndian.Uint64(record[40:]), uint64(binary.NativeEndian.Uint32(record[8:]))
		}
	}
	switch {
	case !hasMagic:
		return ErrUnrecognized
	case checker.pageCount == 0 || checker.pageSize < 512 || checker.pageSize > 1<<20:
		return fmt.Errorf("%w: neither head is whole", ErrCorrupt)
	case uint64(info.Size())/checker.pageSize < checker.pageCount:
		return fmt.Errorf("%w: %d bytes, its head says %d pages of %d", ErrCorrupt, info.Size(), checker.pageCount, checker.pageSize)
	}
	checker.visited = make([]uint64, checker.pageCount/64+1)
	if err := checker.checkPage(root, 0); err != nil {
		return fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return nil
}

// The kinds of page, and a leaf's mark of a bucket.
const (
	branchPageFlag    = 0x01
	leafPageFlag      = 0x02
	elementSize       = 16
	bucketElementFlag = 0x01
	maxTreeDepth      = 64
)

// walk visits the tree of buckets. Values have no checksum in bbolt; what is
// checked is all that it follows: ids, kinds, counts, places, order of keys, and
// that no page hangs in two places.
type treeChecker struct {
	file                *os.File
	pageSize, pageCount uint64
	visited             []uint64 // a bit for each page
}

func (w *treeChecker) checkPage(id uint64, depth int) error {
	if id < 2 || id >= w.pageCount || depth > maxTreeDepth {
		return fmt.Errorf("page %d at depth %d: there are %d pages", id, depth, w.pageCount)
	}
	header := make([]byte, pageHeaderSize)
	if _, err := w.file.ReadAt(header, int64(id*w.pageSize)); err != nil {
		return err
	}
	overflow := uint64(binary.NativeEndian.Uint32(header[12:]))
	if storedID := binary.NativeEndian.Uint64(header); storedID != id || overflow >= w.pageCount-id {
		return fmt.Errorf("page %d calls itself %d and goes on for %d", id, storedID, overflow)
	}
	for page := id; page <= id+overflow; page++ {
		if w.visited[page/64]&(1<<(page%64)) != 0 {
			return fmt.Errorf("page %d hangs in two places", page)
		}
		w.visited[page/64] |= 1 << (page % 64)
	}
	contents := make([]byte, (overflow+1)*w.pageSize)
	if _, err := w.file.ReadAt(contents, int64(id*w.pageSize)); err != nil {
		return err
	}
	return w.checkElements(contents, id, depth)
}

// elements checks a page's elements, or those of a bucket that is kept in its
// parent's leaf.
func (w *treeChecker) checkElements(contents []byte, id uint64, depth int) error {
	if len(contents) < pageHeaderSize || depth > maxTreeDepth {
		return fmt.Errorf("page %d: a bucket of %d bytes", id, len(contents))
	}
	flags, count := binary.NativeEndian.Uint16(contents[8:]), int(binary.NativeEndian.Uint16(contents[10:]))
	if flags != branchPageFlag && flags != leafPageFlag || pageHeaderSize+count*elementSize > len(contents) || flags == branchPageFlag && count == 0 {
		return fmt.Errorf("page %d: kind %#x with %d elements", id, flags, count)
	}
	var previousKey []byte
	for i := range count {
		elementOffset := pageHeaderSize + i*elementSize
		element := contents[elementOffset:]
		slice := func(position, n uint64) ([]byte, error) {
			if from := uint64(elementOffset) + position; from <= uint64(len(contents)) && n <= uint64(len(contents))-from {
				return contents[from : from+n], nil
			}
			return nil, fmt.Errorf("page %d: element %d lies outside", id, i)
		}
		field := func(elementOffset int) uint64 { return uint64(binary.NativeEndian.Uint32(element[elementOffset:])) }
		position, size := field(0), field(4)
		if flags == leafPageFlag {
			position, size = field(4), field(8)
		}
		key, err := slice(position, size)
		if err != nil {
			return err
		}
		if i > 0 && bytes.Compare(previousKey, key) >= 0 {
			return fmt.Errorf("page %d: keys %d and %d are out of order", id, i-1, i)
		}
		previousKey = key
		if flags == branchPageFlag {
			if err := w.checkPage(binary.NativeEndian.Uint64(element[8:]), depth+1); err != nil {
				return err
			}
			continue
		}
		value, err := slice(position+size, field(12))
		if err != nil {
			return err
		}
		if flags := field(0); flags&^bucketElementFlag != 0 {
			return fmt.Errorf("page %d: element %d has flags %#x", id, i, flags)
		} else if flags == 0 {
			continue
		}
		if len(value) < 16 {
			return fmt.Errorf("page %d: element %d is a bucket of %d bytes", id, i, len(value))
		}
		if root := binary.NativeEndian.Uint64(value); root != 0 {
			err = w.checkPage(root, depth+1)
		} else {
			err = w.checkElements(value[16:], id, depth+1)
		}
		if err != nil {
			return err
		}
	}
	return nil
}
