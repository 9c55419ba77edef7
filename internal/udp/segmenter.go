package udp

import (
	"encoding/binary"
	"unsafe"

	"golang.org/x/net/ipv4"
	"golang.org/x/sys/unix"
)

const (
	// longestRun is how many datagrams the kernel cuts from one message, and largestRun
	// how many bytes that may have.
	maxSegments, maxSegmentedBytes = 64, 60_000
	// largestCut is the largest datagram that is cut: beyond the smallest way there the
	// kernel refuses what it would otherwise split.
	maxSegmentSize = 1200
)

// runs joins datagrams of one size that stand in a row into one message, which the kernel
// cuts again (UDP_SEGMENT): one way through its layers instead of many. The last of a run
// may be shorter.
type segmenter struct {
	disabled  bool           // they can't be cut on the way there
	datagrams []ipv4.Message // the datagrams
	starts    []int          // of each message: its first datagram
	messages  []ipv4.Message
	buffers   [][]byte
	control   []byte
}

var segmentControlLen = unix.CmsgSpace(2)

// join returns a batch with its runs joined. It is good until the next call.
func (r *segmenter) join(datagrams []ipv4.Message) []ipv4.Message {
	r.datagrams, r.starts, r.messages, r.buffers = datagrams, r.starts[:0], r.messages[:0], r.buffers[:0]
	if r.control == nil {
		r.control = make([]byte, batchSize*segmentControlLen)
	}
	for i := 0; i < len(datagrams); {
		firstBuffer, count := len(r.buffers), r.runLength(datagrams[i:])
		r.starts = append(r.starts, i)
		for _, m := range datagrams[i : i+count] {
			r.buffers = append(r.buffers, m.Buffers...)
		}
		m := ipv4.Message{Buffers: r.buffers[firstBuffer:len(r.buffers):len(r.buffers)]}
		if count > 1 {
			m.OOB = segmentControl(r.control[len(r.messages)*segmentControlLen:][:segmentControlLen], messageSize(&datagrams[i]))
		}
		r.messages = append(r.messages, m)
		i += count
	}
	return r.messages
}

// run is how many datagrams at the begin of a list go into one message.
func (r *segmenter) runLength(datagrams []ipv4.Message) (count int) {
	first := messageSize(&datagrams[0])
	if r.disabled || first == 0 || first > maxSegmentSize {
		return 1
	}
	for count = 1; count < min(len(datagrams), maxSegments) && (count+1)*first <= maxSegmentedBytes; count++ {
		switch next := messageSize(&datagrams[count]); {
		case next == first:
		case next > 0 && next < first:
			return count + 1 // a shorter one ends it
		default:
			return count
		}
	}
	return count
}

// length is how many datagrams are in one of the messages.
func (r *segmenter) datagramsIn(message int) int {
	end := len(r.datagrams)
	if message+1 < len(r.starts) {
		end = r.starts[message+1]
	}
	return end - r.starts[message]
}

// part returns the datagrams from a message on, each by itself, and joins none any more.
func (r *segmenter) splitFrom(message int) []ipv4.Message {
	r.disabled = true
	return r.join(r.datagrams[r.starts[message]:])
}

// size is how long a message is.
func messageSize(message *ipv4.Message) (total int) {
	for _, b := range message.Buffers {
		total += len(b)
	}
	return total
}

// segment writes the control message that has the kernel cut a message.
func segmentControl(control []byte, size int) []byte {
	head := (*unix.Cmsghdr)(unsafe.Pointer(&control[0]))
	head.Level, head.Type = unix.IPPROTO_UDP, unix.UDP_SEGMENT
	head.SetLen(unix.CmsgLen(2))
	binary.NativeEndian.PutUint16(control[unix.CmsgLen(0):], uint16(size))
	return control
}
