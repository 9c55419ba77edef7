package replog

import (
	"bytes"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"time"

	"github.com/hashicorp/raft"
)

// An entry of raft's log is stored as these fields; the integers are big-endian:
//
//	index             8 bytes
//	term              8 bytes
//	appended at       8 bytes, Unix nanoseconds, 0 if unset
//	type              1 byte
//	extensions length 4 bytes
//	extensions
//	data
//	CRC-32C           4 bytes, over all preceding bytes: bbolt does not checksum values
const (
	logTermOffset             = 8
	logAppendedAtOffset       = 16
	logTypeOffset             = 24
	logExtensionsLengthOffset = 25
	logHeaderSize             = 29
	logChecksumSize           = 4
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// errCorruptEntry reports a stored entry with a wrong checksum or wrong lengths.
var errCorruptEntry = errors.New("checksum mismatch")

// encodeLog returns the stored form of an entry.
func encodeLog(entry *raft.Log) []byte {
	size := logHeaderSize + len(entry.Extensions) + len(entry.Data) + logChecksumSize
	encoded := make([]byte, 0, size)
	encoded = binary.BigEndian.AppendUint64(encoded, entry.Index)
	encoded = binary.BigEndian.AppendUint64(encoded, entry.Term)
	appendedAt := int64(0)
	if !entry.AppendedAt.IsZero() {
		appendedAt = entry.AppendedAt.UnixNano()
	}
	encoded = binary.BigEndian.AppendUint64(encoded, uint64(appendedAt))
	encoded = append(encoded, byte(entry.Type))
	encoded = binary.BigEndian.AppendUint32(encoded, uint32(len(entry.Extensions)))
	encoded = append(encoded, entry.Extensions...)
	encoded = append(encoded, entry.Data...)
	return binary.BigEndian.AppendUint32(encoded, crc32.Checksum(encoded, castagnoli))
}

// decodeLog decodes a stored entry, or returns errCorruptEntry.
func decodeLog(encoded []byte) (*raft.Log, error) {
	if len(encoded) < logHeaderSize+logChecksumSize {
		return nil, errCorruptEntry
	}
	content, checksum := encoded[:len(encoded)-logChecksumSize], encoded[len(encoded)-logChecksumSize:]
	if crc32.Checksum(content, castagnoli) != binary.BigEndian.Uint32(checksum) {
		return nil, errCorruptEntry
	}
	entry := &raft.Log{
		Index: binary.BigEndian.Uint64(content),
		Term:  binary.BigEndian.Uint64(content[logTermOffset:]),
		Type:  raft.LogType(content[logTypeOffset]),
	}
	if appendedAt := int64(binary.BigEndian.Uint64(content[logAppendedAtOffset:])); appendedAt != 0 {
		entry.AppendedAt = time.Unix(0, appendedAt)
	}
	rest := content[logHeaderSize:]
	extensionsLength := binary.BigEndian.Uint32(content[logExtensionsLengthOffset:])
	if uint64(extensionsLength) > uint64(len(rest)) {
		return nil, errCorruptEntry
	}
	if extensionsLength > 0 {
		entry.Extensions = bytes.Clone(rest[:extensionsLength])
	}
	entry.Data = bytes.Clone(rest[extensionsLength:])
	return entry, nil
}
