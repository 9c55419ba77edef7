package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"os"
)

// bbolt's file format, as far as it is read here: a page header stands before each page's
// contents, and the first two pages hold a meta record each, of which the newer valid one
// counts.
const (
	pageHeaderSize    = 16 // bytes
	metaRecordSize    = 64 // bytes
	boltMagic         = 0xED0CDAED
	boltFormatVersion = 2

	metaChecksumOffset = metaRecordSize - 8
	minPageSize        = 512     // bytes
	maxPageSize        = 1 << 20 // bytes
)

// metaOffsets are where meta records are looked for, in bytes. The second one stands one
// page on; the page's size is in the first, which may be the damaged one, so that the usual
// sizes are tried.
var metaOffsets = []int64{0, 4096, 8192, 16384, 65536}

// metaRecord is what a meta record says of the file.
type metaRecord struct {
	pageSize    uint64 // bytes
	root        uint64 // the page of the root bucket
	pageCount   uint64
	transaction uint64 // that wrote the record
}

// verifyFile checks that the file has a sound meta record and a sound tree below it. An empty
// file is sound: it becomes a store. bbolt checks the tree too, but in a goroutine of its own
// where what it finds ends the process; and it maps a file that is shorter than its meta
// record says, which faults later.
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
	meta, err := readNewestMeta(file)
	if err != nil {
		return err
	}
	if uint64(info.Size())/meta.pageSize < meta.pageCount {
		return fmt.Errorf("%w: %d bytes, its meta record says %d pages of %d",
			ErrCorrupt, info.Size(), meta.pageCount, meta.pageSize)
	}
	if err := newTreeChecker(file, meta).checkPage(meta.root, 0); err != nil {
		return fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return nil
}

// readNewestMeta returns the valid meta record of the latest transaction.
func readNewestMeta(file *os.File) (newest metaRecord, err error) {
	hasMagic := false
	encoded := make([]byte, metaRecordSize)
	for _, offset := range metaOffsets {
		_, err := file.ReadAt(encoded, offset+pageHeaderSize)
		if errors.Is(err, io.EOF) {
			continue
		}
		if err != nil {
			return metaRecord{}, err
		}
		if binary.NativeEndian.Uint32(encoded) != boltMagic {
			continue
		}
		hasMagic = true
		meta, isValid := decodeMeta(encoded)
		if isValid && (newest.pageCount == 0 || meta.transaction > newest.transaction) {
			newest = meta
		}
	}
	switch {
	case !hasMagic:
		return metaRecord{}, ErrUnrecognized
	case newest.pageCount == 0 || newest.pageSize < minPageSize || newest.pageSize > maxPageSize:
		return metaRecord{}, fmt.Errorf("%w: neither meta record is valid", ErrCorrupt)
	}
	return newest, nil
}

// decodeMeta reads a meta record. It is false if the record has another format version or
// its checksum does not match.
func decodeMeta(encoded []byte) (metaRecord, bool) {
	checksum := fnv.New64a()
	_, _ = checksum.Write(encoded[:metaChecksumOffset])
	if checksum.Sum64() != binary.NativeEndian.Uint64(encoded[metaChecksumOffset:]) {
		return metaRecord{}, false
	}
	if binary.NativeEndian.Uint32(encoded[4:]) != boltFormatVersion {
		return metaRecord{}, false
	}
	return metaRecord{
		pageSize:    uint64(binary.NativeEndian.Uint32(encoded[8:])),
		root:        binary.NativeEndian.Uint64(encoded[16:]),
		pageCount:   binary.NativeEndian.Uint64(encoded[40:]),
		transaction: binary.NativeEndian.Uint64(encoded[48:]),
	}, true
}
