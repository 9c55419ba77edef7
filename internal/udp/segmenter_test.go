package udp

import (
	"bytes"
	"encoding/binary"
	"testing"

	"golang.org/x/net/ipv4"
	"golang.org/x/sys/unix"
	"pgregory.net/rapid"
)

// segmentsOf segments a message as the kernel does, by the size in its control message.
func segmentsOf(message ipv4.Message) (segments [][]byte) {
	rest := bytes.Join(message.Buffers, nil)
	if len(message.OOB) == 0 {
		return [][]byte{rest}
	}
	segmentSize := int(binary.NativeEndian.Uint16(message.OOB[unix.CmsgLen(0):]))
	for len(rest) > segmentSize {
		segments = append(segments, rest[:segmentSize])
		rest = rest[segmentSize:]
	}
	return append(segments, rest)
}

// Segmenting the joined messages yields the original datagrams in order. No joined message exceeds
// the limits of segmentation, and datagramsIn counts each datagram.
func TestSegmenterKeepsEveryDatagram(t *testing.T) {
	datagramSize := rapid.SampledFrom([]int{0, 1, 63, 64, 64, 64, 64, 65, 1200, 1201, 60_000})
	rapid.Check(t, func(t *rapid.T) {
		sizes := rapid.SliceOfN(datagramSize, 1, batchSize).Draw(t, "sizes")
		var datagrams []ipv4.Message
		var want [][]byte
		for i, size := range sizes {
			datagram := bytes.Repeat([]byte{byte(i)}, size)
			header, payload := datagram[:size/3], datagram[size/3:]
			datagrams = append(datagrams, ipv4.Message{Buffers: [][]byte{header, payload}})
			want = append(want, datagram)
		}
		s := segmenter{disabled: rapid.Bool().Draw(t, "off")}
		messages := s.join(datagrams)
		checkSegments(t, &s, messages, want)
		if failed := rapid.IntRange(0, len(messages)-1).Draw(t, "fails"); !s.disabled {
			want = want[s.starts[failed]:]
			messages = s.splitFrom(failed)
			checkSegments(t, &s, messages, want)
		}
	})
}

func checkSegments(t *rapid.T, s *segmenter, messages []ipv4.Message, want [][]byte) {
	t.Helper()
	var got [][]byte
	for i, message := range messages {
		segments := segmentsOf(message)
		if len(segments) != s.datagramsIn(i) {
			t.Fatalf("message %d has %d datagrams, datagramsIn returned %d",
				i, len(segments), s.datagramsIn(i))
		}
		if len(segments) > 1 {
			size := messageSize(&message)
			tooLarge := len(segments[0]) > maxSegmentSize ||
				size > maxSegmentedBytes || len(segments) > maxSegments
			if s.disabled || tooLarge {
				t.Fatalf("message %d joins %d datagrams with %d bytes in total", i, len(segments), size)
			}
		}
		got = append(got, segments...)
	}
	if len(got) != len(want) {
		t.Fatalf("%d datagrams, want %d", len(got), len(want))
	}
	for i := range got {
		if !bytes.Equal(got[i], want[i]) {
			t.Fatalf("datagram %d of %d differs: %d bytes, want %d", i, len(want), len(got[i]), len(want[i]))
		}
	}
}

// Bursts of datagrams of various sizes arrive in order, with the sizes that were sent.
func TestSegmentedDatagramsArriveUnchanged(t *testing.T) {
	listener, _, endpoints := startListener(t, withSharedSockets.and(func(options *Options) {
		options.ProxyHeader = false
		options.FlowQueue.Count, options.FlowQueue.Bytes = 100, 1<<20
	}))
	client := dial(t, listener)
	client.send("first")
	eventually(t, "the flow is placed", func() bool { return endpoints.count("a") == 1 })
	sizes := []int{10, 10, 10, 7, 10, 900, 900, 1500, 0, 3}
	sent := 1
	for range 20 {
		for _, size := range sizes {
			client.send(string(bytes.Repeat([]byte("x"), size)))
			sent++
		}
		eventually(t, "all datagrams arrive", func() bool { return endpoints.count("a") == sent })
	}
	endpoints.mu.Lock()
	defer endpoints.mu.Unlock()
	for i, datagram := range endpoints.received["a"][1:] {
		if want := min(sizes[i%len(sizes)], receivedPrefixLen); len(datagram) != want {
			t.Fatalf("datagram %d has %d bytes, want %d", i, len(datagram), want)
		}
	}
	if forwarded := listener.Counts.Forwarded.Load(); forwarded != int64(sent) {
		t.Errorf("%d datagrams forwarded, want %d", forwarded, sent)
	}
}
