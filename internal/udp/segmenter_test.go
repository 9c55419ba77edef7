package udp

import (
	"bytes"
	"encoding/binary"
	"testing"

	"golang.org/x/net/ipv4"
	"golang.org/x/sys/unix"
	"pgregory.net/rapid"
)

// cut does what the kernel does with a message: it cuts it by the size in its control.
func segmentsOf(m ipv4.Message) (list [][]byte) {
	all := bytes.Join(m.Buffers, nil)
	if len(m.OOB) == 0 {
		return [][]byte{all}
	}
	by := int(binary.NativeEndian.Uint16(m.OOB[unix.CmsgLen(0):]))
	for len(all) > by {
		list, all = append(list, all[:by]), all[by:]
	}
	return append(list, all)
}

// Whatever is joined comes out as it went in: the same datagrams, in order, none of
// nothing, none too large to be cut, and each counted.
func TestSegmenterKeepsEveryDatagram(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sizes := rapid.SliceOfN(rapid.SampledFrom([]int{0, 1, 63, 64, 64, 64, 64, 65, 1200, 1201, 60_000}), 1, batchSize).Draw(t, "sizes")
		list, want := []ipv4.Message{}, [][]byte{}
		for i, n := range sizes {
			d := bytes.Repeat([]byte{byte(i)}, n)
			list, want = append(list, ipv4.Message{Buffers: [][]byte{d[:n/3], d[n/3:]}}), append(want, d)
		}
		r := segmenter{disabled: rapid.Bool().Draw(t, "off")}
		messages := r.join(list)
		from := 0
		check := func() {
			t.Helper()
			got := [][]byte{}
			for i, m := range messages {
				parts := segmentsOf(m)
				if len(parts) != r.datagramsIn(i) {
					t.Fatalf("message %d: %d datagrams, counted as %d", i, len(parts), r.datagramsIn(i))
				}
				if n := messageSize(&m); len(parts) > 1 && (r.disabled || len(parts[0]) > maxSegmentSize || n > maxSegmentedBytes || len(parts) > maxSegments) {
					t.Fatalf("a run of %d, %d bytes", len(parts), n)
				}
				got = append(got, parts...)
			}
			if len(got) != len(want)-from {
				t.Fatalf("%d datagrams, want %d", len(got), len(want)-from)
			}
			for i := range got {
				if !bytes.Equal(got[i], want[from+i]) {
					t.Fatalf("datagram %d: %d bytes, want %d", from+i, len(got[i]), len(want[from+i]))
				}
			}
		}
		check()
		if at := rapid.IntRange(0, len(messages)-1).Draw(t, "fails"); !r.disabled { // the way can't cut
			from = r.starts[at]
			messages = r.splitFrom(at)
			check()
		}
	})
}

// Beacons of many sizes go through, and joined ones arrive as they were sent.
func TestSegmentedDatagramsArriveWhole(t *testing.T) {
	listener, _, endpoints := startListener(t, combine(sharedSockets, func(o *Options) { o.ProxyHeader = false; o.FlowQueue.Count, o.FlowQueue.Bytes = 100, 1<<20 }))
	client := dial(t, listener)
	client.send("first")
	eventually(t, "it is placed", func() bool { return endpoints.count("a") == 1 })
	want := 1
	for range 20 {
		for _, n := range []int{10, 10, 10, 7, 10, 900, 900, 1500, 0, 3} {
			client.send(string(bytes.Repeat([]byte("x"), n)))
			want++
		}
		eventually(t, "all arrive", func() bool { return endpoints.count("a") == want })
	}
	endpoints.mu.Lock()
	defer endpoints.mu.Unlock()
	for i, text := range endpoints.received["a"][1:] { // cut off at 20 bytes
		if n := []int{10, 10, 10, 7, 10, 20, 20, 20, 0, 3}[i%10]; len(text) != n {
			t.Fatalf("datagram %d has %d bytes, want %d", i, len(text), n)
		}
	}
	if n := listener.Counts.Forwarded.Load(); n != int64(want) {
		t.Errorf("%d forwarded, want %d", n, want)
	}
}
