package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"os"
)

// The parts of bbolt's file format that this package reads. Each page starts with a page
// header. The first two pages hold a meta record each; the valid record of the latest
// transaction is in effect.
const (
	pageHeaderSize    = 16 // bytes
	metaRecordSize    = 64 // bytes
	boltMagic         = 0xED0CDAED
	boltFormatVersion = 2

	metaChecksumOffset = metaRecordSize - 8
	minPageSize        = 512     // bytes
	maxPageSize        = 1 << 20 // bytes
)

// metaOffsets are the offsets, in bytes, at which meta records are searched. The second record
// is one page after the first. The page size is read from the first record, which may be
// damaged, so that the common page sizes are tried instead.
var metaOffsets = []int64{0, 4096, 8192, 16384, 65536}

// metaRecord holds the decoded fields of a meta record.
type metaRecord struct {
	pageSize    uint64 // bytes
	root        uint64 // number of the root bucket's page
	pageCount   uint64
	transaction uint64 // ID of the transaction that wrote the record
}

// verifyFile checks that the file has a valid meta record and a valid tree of pages. An empty
// file is valid: Open creates a store in it. bbolt checks the tree as well, but in a separate
// goroutine where a panic ends the process. It also maps a file that is shorter than its meta
// record states, and a later access is a memory fault.
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
		return fmt.Errorf("%w: file has %d bytes, meta record states %d pages of %d bytes",
			ErrCorrupt, info.Size(), meta.pageCount, meta.pageSize)
	}
	if err := newTreeChecker(file, meta).checkPage(meta.root, 0); err != nil {
		return fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return nil
}

// readNewestMeta returns the valid meta record that the latest transaction wrote.
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

// decodeMeta decodes a meta record. It returns false if the record has another format version
// or its checksum does not match.
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
