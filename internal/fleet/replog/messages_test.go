package replog

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"runtime"
	"testing"
)

// Guards against a peer that makes a member allocate memory for a message of which it sends nothing but the
// length: the buffer grows with what arrives.
func TestMessageBufferGrowsWithItsData(t *testing.T) {
	const maxAllocated = 1 << 20
	header := binary.BigEndian.AppendUint32([]byte{byte(msgState)}, maxStateSize)
	for _, received := range []int{0, 1, 100 << 10} {
		truncated := bytes.NewReader(append(header, make([]byte, received)...))
		before, after := runtime.MemStats{}, runtime.MemStats{}
		runtime.ReadMemStats(&before)
		_, payload, err := readMessage(truncated, maxStateSize)
		runtime.ReadMemStats(&after)
		if !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("after %d bytes: %d bytes, %v", received, len(payload), err)
		}
		if allocated := after.TotalAlloc - before.TotalAlloc; allocated > maxAllocated {
			t.Errorf("after %d bytes: %d bytes were allocated, want at most %d", received, allocated, maxAllocated)
		}
	}
}

// A message of any accepted size arrives whole, and what follows it is left for the next one.
func TestMessageArrivesWhole(t *testing.T) {
	for _, size := range []int{0, 1, initialPayloadSize, initialPayloadSize + 1, 1 << 20} {
		sent := bytes.Repeat([]byte{7}, size)
		var stream bytes.Buffer
		for range 2 {
			if err := writeMessage(&stream, msgState, sent); err != nil {
				t.Fatal(err)
			}
		}
		for range 2 {
			kind, payload, err := readMessage(&stream, maxStateSize)
			if kind != msgState || err != nil || !bytes.Equal(payload, sent) {
				t.Errorf("%d bytes arrive as %q, %d bytes, %v", size, kind, len(payload), err)
			}
		}
	}
}
