package store

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"os"
)

const (
	// Kinds of pages, as stored in the flags of a page header.
	branchPageFlag = 0x01
	leafPageFlag   = 0x02
	// bucketElementFlag marks a leaf element whose value is a bucket.
	bucketElementFlag = 0x01

	firstTreePage    = 2  // pages 0 and 1 hold the meta records
	elementSize      = 16 // bytes
	bucketHeaderSize = 16 // bytes
	maxTreeDepth     = 64
)

// treeChecker verifies the tree of pages and buckets. bbolt has no checksum of values, so that
// damaged values are not detected. The checks cover everything that bbolt relies on to navigate
// the file: page numbers, kinds, counts, offsets, the order of keys, and that no page is used
// twice.
type treeChecker struct {
	file                *os.File
	pageSize, pageCount uint64
	visited             []uint64 // a bit set with one bit per page
}

func newTreeChecker(file *os.File, meta metaRecord) *treeChecker {
	return &treeChecker{
		file:      file,
		pageSize:  meta.pageSize,
		pageCount: meta.pageCount,
		visited:   make([]uint64, meta.pageCount/64+1),
	}
}

// checkPage checks a page, its overflow pages and the subtree below it.
func (c *treeChecker) checkPage(id uint64, depth int) error {
	if id < firstTreePage || id >= c.pageCount || depth > maxTreeDepth {
		return fmt.Errorf("page %d at depth %d: number or depth out of range, the file has %d pages",
			id, depth, c.pageCount)
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

// visit marks a page as visited and reports whether this is its first visit.
func (c *treeChecker) visit(page uint64) bool {
	bits, bit := &c.visited[page/64], uint64(1)<<(page%64)
	if *bits&bit != 0 {
		return false
	}
	*bits |= bit
	return true
}

// checkElements checks the elements of a page, or of an inline bucket, which is stored in a
// leaf element of its parent, and the subtrees below them. The id is the number of the page.
func (c *treeChecker) checkElements(contents []byte, id uint64, depth int) error {
	if len(contents) < pageHeaderSize || depth > maxTreeDepth {
		return fmt.Errorf("page %d: bucket of %d bytes is too short or nested too deeply", id, len(contents))
	}
	flags := binary.NativeEndian.Uint16(contents[8:])
	count := int(binary.NativeEndian.Uint16(contents[10:]))
	isBranch, isLeaf := flags == branchPageFlag, flags == leafPageFlag
	elementsFit := pageHeaderSize+count*elementSize <= len(contents)
	if !isBranch && !isLeaf || !elementsFit || isBranch && count == 0 {
		return fmt.Errorf("page %d: invalid kind %#x or number of elements %d", id, flags, count)
	}
	var previousKey []byte
	for i := range count {
		current := element{contents: contents, offset: pageHeaderSize + i*elementSize, isBranch: isBranch}
		key, ok := current.key()
		if !ok {
			return fmt.Errorf("page %d: key of element %d lies outside the page", id, i)
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

// checkLeafElement checks the value of a leaf element and, if it is a bucket, the subtree below it.
func (c *treeChecker) checkLeafElement(leaf element, number int, id uint64, depth int) error {
	value, ok := leaf.value()
	if !ok {
		return fmt.Errorf("page %d: value of element %d lies outside the page", id, number)
	}
	flags := leaf.field(0)
	if flags&^bucketElementFlag != 0 {
		return fmt.Errorf("page %d: element %d has invalid flags %#x", id, number, flags)
	}
	if flags == 0 {
		return nil
	}
	if len(value) < bucketHeaderSize {
		return fmt.Errorf("page %d: element %d is a bucket of only %d bytes", id, number, len(value))
	}
	if root := binary.NativeEndian.Uint64(value); root != 0 {
		return c.checkPage(root, depth+1)
	}
	return c.checkElements(value[bucketHeaderSize:], id, depth+1)
}

// element is one entry of a page. An element of a branch page holds the position and size of
// its key and the number of the child page. An element of a leaf page holds flags, the position
// and size of its key, and the size of its value.
type element struct {
	contents []byte // contents of the page
	offset   int    // position of the element in contents
	isBranch bool
}

// field returns the 32-bit number at an offset in the element.
func (e element) field(offset int) uint64 {
	return uint64(binary.NativeEndian.Uint32(e.contents[e.offset+offset:]))
}

// keyRange returns the position of the key, relative to the element, and its size, in bytes.
func (e element) keyRange() (position, size uint64) {
	if e.isBranch {
		return e.field(0), e.field(4)
	}
	return e.field(4), e.field(8)
}

// key returns the element's key. It returns false if the key lies outside the page.
func (e element) key() ([]byte, bool) {
	position, size := e.keyRange()
	return e.slice(position, size)
}

// value returns the value of a leaf element, which follows its key. It returns false if the
// value lies outside the page.
func (e element) value() ([]byte, bool) {
	position, size := e.keyRange()
	return e.slice(position+size, e.field(12))
}

// childPage returns the number of the page that a branch element refers to.
func (e element) childPage() uint64 { return binary.NativeEndian.Uint64(e.contents[e.offset+8:]) }

// slice returns size bytes at a position relative to the element. It returns false if they lie
// outside the page.
func (e element) slice(position, size uint64) ([]byte, bool) {
	start, length := uint64(e.offset)+position, uint64(len(e.contents))
	if start > length || size > length-start {
		return nil, false
	}
	return e.contents[start : start+size], true
}
