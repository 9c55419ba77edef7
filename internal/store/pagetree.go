package store

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"os"
)

const (
	// The kinds of page, in the flags of a page header.
	branchPageFlag = 0x01
	leafPageFlag   = 0x02
	// bucketElementFlag marks an element of a leaf that holds a bucket.
	bucketElementFlag = 0x01

	firstTreePage    = 2  // the pages before hold the meta records
	elementSize      = 16 // bytes
	bucketHeaderSize = 16 // bytes
	maxTreeDepth     = 64
)

// treeChecker visits the tree of pages and buckets. bbolt has no checksum of values; what is
// checked is all that bbolt follows: page numbers, kinds, counts, offsets, the order of keys,
// and that no page is used twice.
type treeChecker struct {
	file                *os.File
	pageSize, pageCount uint64
	visited             []uint64 // a bit for each page
}

func newTreeChecker(file *os.File, meta metaRecord) *treeChecker {
	return &treeChecker{
		file:      file,
		pageSize:  meta.pageSize,
		pageCount: meta.pageCount,
		visited:   make([]uint64, meta.pageCount/64+1),
	}
}

// checkPage checks a page, its overflow pages, and all that hangs below it.
func (c *treeChecker) checkPage(id uint64, depth int) error {
	if id < firstTreePage || id >= c.pageCount || depth > maxTreeDepth {
		return fmt.Errorf("page %d at depth %d: there are %d pages", id, depth, c.pageCount)
	}
	header := make([]byte, pageHeaderSize)
	if _, err := c.file.ReadAt(header, int64(id*c.pageSize)); err != nil {
		return err
	}
	storedID := binary.NativeEndian.Uint64(header)
	overflow := uint64(binary.NativeEndian.Uint32(header[12:]))
	if storedID != id || overflow >= c.pageCount-id {
		return fmt.Errorf("page %d has number %d and %d overflow pages", id, storedID, overflow)
	}
	for page := id; page <= id+overflow; page++ {
		if !c.visit(page) {
			return fmt.Errorf("page %d is used twice", page)
		}
	}
	contents := make([]byte, (overflow+1)*c.pageSize)
	if _, err := c.file.ReadAt(contents, int64(id*c.pageSize)); err != nil {
		return err
	}
	return c.checkElements(contents, id, depth)
}

// visit marks a page as visited. It is false if the page was visited before.
func (c *treeChecker) visit(page uint64) bool {
	bits, bit := &c.visited[page/64], uint64(1)<<(page%64)
	if *bits&bit != 0 {
		return false
	}
	*bits |= bit
	return true
}

// checkElements checks the elements of a page, or of a small bucket that is kept in its
// parent's leaf, and all that hangs below them. The id is that of the page.
func (c *treeChecker) checkElements(contents []byte, id uint64, depth int) error {
	if len(contents) < pageHeaderSize || depth > maxTreeDepth {
		return fmt.Errorf("page %d: a bucket of %d bytes", id, len(contents))
	}
	flags := binary.NativeEndian.Uint16(contents[8:])
	count := int(binary.NativeEndian.Uint16(contents[10:]))
	isBranch, isLeaf := flags == branchPageFlag, flags == leafPageFlag
	elementsFit := pageHeaderSize+count*elementSize <= len(contents)
	if !isBranch && !isLeaf || !elementsFit || isBranch && count == 0 {
		return fmt.Errorf("page %d: kind %#x with %d elements", id, flags, count)
	}
	var previousKey []byte
	for i := range count {
		current := element{contents: contents, offset: pageHeaderSize + i*elementSize, isBranch: isBranch}
		key, ok := current.key()
		if !ok {
			return fmt.Errorf("page %d: element %d lies outside", id, i)
		}
		if i > 0 && bytes.Compare(previousKey, key) >= 0 {
			return fmt.Errorf("page %d: keys %d and %d are out of order", id, i-1, i)
		}
		previousKey = key
		var err error
		if isBranch {
			err = c.checkPage(current.childPage(), depth+1)
		} else {
			err = c.checkLeafElement(current, i, id, depth)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// checkLeafElement checks a value and, if it is a bucket, all that hangs below it.
func (c *treeChecker) checkLeafElement(leaf element, number int, id uint64, depth int) error {
	value, ok := leaf.value()
	if !ok {
		return fmt.Errorf("page %d: element %d lies outside", id, number)
	}
	flags := leaf.field(0)
	if flags&^bucketElementFlag != 0 {
		return fmt.Errorf("page %d: element %d has flags %#x", id, number, flags)
	}
	if flags == 0 {
		return nil
	}
	if len(value) < bucketHeaderSize {
		return fmt.Errorf("page %d: element %d is a bucket of %d bytes", id, number, len(value))
	}
	if root := binary.NativeEndian.Uint64(value); root != 0 {
		return c.checkPage(root, depth+1)
	}
	return c.checkElements(value[bucketHeaderSize:], id, depth+1)
}

// element is one entry of a page. A branch's has the key's position and size and the child
// page; a leaf's has flags, the key's position and size, and the value's size.
type element struct {
	contents []byte // of the page
	offset   int    // of the element in contents
	isBranch bool
}

// field is the 32-bit number at an offset in the element.
func (e element) field(offset int) uint64 {
	return uint64(binary.NativeEndian.Uint32(e.contents[e.offset+offset:]))
}

// keyRange is the key's position, counted from the element, and its size, in bytes.
func (e element) keyRange() (position, size uint64) {
	if e.isBranch {
		return e.field(0), e.field(4)
	}
	return e.field(4), e.field(8)
}

// key returns the element's key; it is false if that lies outside the page.
func (e element) key() ([]byte, bool) {
	position, size := e.keyRange()
	return e.slice(position, size)
}

// value returns a leaf element's value, which follows its key; it is false if that lies
// outside the page.
func (e element) value() ([]byte, bool) {
	position, size := e.keyRange()
	return e.slice(position+size, e.field(12))
}

// childPage is the page that a branch element leads to.
func (e element) childPage() uint64 { return binary.NativeEndian.Uint64(e.contents[e.offset+8:]) }

// slice returns size bytes at a position that is counted from the element.
func (e element) slice(position, size uint64) ([]byte, bool) {
	start, length := uint64(e.offset)+position, uint64(len(e.contents))
	if start > length || size > length-start {
		return nil, false
	}
	return e.contents[start : start+size], true
}
