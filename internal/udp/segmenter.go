package udp

import (
	"encoding/binary"
	"unsafe"

	"golang.org/x/net/ipv4"
	"golang.org/x/sys/unix"
)

const (
	// maxSegments is the maximum number of datagrams that the kernel segments one message into.
	maxSegments = 64
	// maxSegmentedBytes is the maximum length of a message of several datagrams.
	maxSegmentedBytes = 60_000
	// maxSegmentSize is the size of the largest datagram that is joined with others, in bytes. The
	// kernel fragments a single datagram above the path's MTU, but refuses to segment a message
	// into datagrams of that size.
	maxSegmentSize = 1200
	// segmentSizeLen is the length of the segment size in the control message.
	segmentSizeLen = 2
)

var segmentControlLen = unix.CmsgSpace(segmentSizeLen)

// segmenter joins consecutive datagrams of equal size into one message, which the kernel segments
// again (generic segmentation offload, UDP_SEGMENT). A message passes through the network stack
// once, instead of once per datagram. The last datagram of a message may be shorter.
type segmenter struct {
	disabled  bool           // the route does not support segmentation
	datagrams []ipv4.Message // the current batch
	starts    []int          // by message: index of its first datagram
	messages  []ipv4.Message
	buffers   [][]byte
	control   []byte
}

// join returns the messages for a batch of datagrams. They are valid until the next call.
func (s *segmenter) join(datagrams []ipv4.Message) []ipv4.Message {
	s.datagrams = datagrams
	s.starts, s.messages, s.buffers = s.starts[:0], s.messages[:0], s.buffers[:0]
	if s.control == nil {
		s.control = make([]byte, batchSize*segmentControlLen)
	}
	for i := 0; i < len(datagrams); {
		count := s.runLength(datagrams[i:])
		s.starts = append(s.starts, i)
		s.appendMessage(datagrams[i : i+count])
		i += count
	}
	return s.messages
}

// appendMessage appends one message that consists of the given datagrams.
func (s *segmenter) appendMessage(joined []ipv4.Message) {
	firstBuffer := len(s.buffers)
	for i := range joined {
		s.buffers = append(s.buffers, joined[i].Buffers...)
	}
	end := len(s.buffers)
	message := ipv4.Message{Buffers: s.buffers[firstBuffer:end:end]}
	if len(joined) > 1 {
		control := s.control[len(s.messages)*segmentControlLen:][:segmentControlLen]
		message.OOB = putSegmentSize(control, messageSize(&joined[0]))
	}
	s.messages = append(s.messages, message)
}

// runLength returns the number of datagrams at the beginning of a batch that form one message.
func (s *segmenter) runLength(datagrams []ipv4.Message) (count int) {
	segmentSize := messageSize(&datagrams[0])
	if s.disabled || segmentSize == 0 || segmentSize > maxSegmentSize {
		return 1
	}
	for count = 1; count < min(len(datagrams), maxSegments) &&
		(count+1)*segmentSize <= maxSegmentedBytes; count++ {
		switch next := messageSize(&datagrams[count]); {
		case next == segmentSize:
		case next > 0 && next < segmentSize:
			return count + 1 // a shorter datagram ends the message
		default:
			return count
		}
	}
	return count
}

// datagramsIn returns the number of datagrams in a message.
func (s *segmenter) datagramsIn(message int) int {
	end := len(s.datagrams)
	if message+1 < len(s.starts) {
		end = s.starts[message+1]
	}
	return end - s.starts[message]
}

// splitFrom disables joining and returns the datagrams of the given message and all later ones,
// each in a separate message.
func (s *segmenter) splitFrom(message int) []ipv4.Message {
	s.disabled = true
	return s.join(s.datagrams[s.starts[message]:])
}

// messageSize returns the length of a message in bytes.
func messageSize(message *ipv4.Message) (total int) {
	for _, buffer := range message.Buffers {
		total += len(buffer)
	}
	return total
}

// putSegmentSize writes the control message that tells the kernel the size of a message's segments.
func putSegmentSize(control []byte, segmentSize int) []byte {
	header := (*unix.Cmsghdr)(unsafe.Pointer(&control[0]))
	header.Level = unix.IPPROTO_UDP
	header.Type = unix.UDP_SEGMENT
	header.SetLen(unix.CmsgLen(segmentSizeLen))
	binary.NativeEndian.PutUint16(control[unix.CmsgLen(0):], uint16(segmentSize))
	return control
}
