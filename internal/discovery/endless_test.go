package discovery

import (
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"runtime/metrics"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/inputlimit"
)

// testLimits are small, so that endless responses reach them soon.
var testLimits = Limits{MessageBytes: 64 << 10, Endpoints: 256}

const (
	// endlessBytes is where an endless response breaks off if nothing limits its reader.
	endlessBytes = 16 << 20
	// maxHeldBytes is what a response may take at most of the heap with testLimits, with the garbage of the
	// last sampleBytes.
	maxHeldBytes = 4 << 20
	// sampleBytes is after how much of a response the heap is measured and garbage is collected, so that the
	// result does not depend on when the collector runs by itself.
	sampleBytes = 16 << 10
	// libraryLimit marks a limit of net/http, whose error is not an *inputlimit.Error.
	libraryLimit = inputlimit.Limit(-1)
)

// endlessConn is a connection on which a response without an end arrives, as fast as it is read.
type endlessConn struct {
	net.Conn // a pipe that provides the other methods
	first    string
	next     func(count int) string // the count-th block after first
	blocks   int
	unread   string
	read     atomic.Int64
	sampled  int64 // value of read at the last sample
	heldMost atomic.Int64
}

func (c *endlessConn) Write(p []byte) (int, error)      { return len(p), nil }
func (c *endlessConn) SetDeadline(time.Time) error      { return nil }
func (c *endlessConn) SetReadDeadline(time.Time) error  { return nil }
func (c *endlessConn) SetWriteDeadline(time.Time) error { return nil }

// Read reads a part of the response, and measures the heap before it from time to time.
func (c *endlessConn) Read(p []byte) (int, error) {
	if read := c.read.Load(); read == 0 || read-c.sampled >= sampleBytes {
		c.sampled = read
		c.sampleHeap()
	}
	if c.unread == "" {
		c.unread, c.first = c.first, ""
	}
	if c.unread == "" {
		c.blocks++
		c.unread = c.next(c.blocks)
	}
	if c.read.Load() > endlessBytes {
		return 0, io.EOF
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	c.read.Add(int64(n))
	return n, nil
}

// sampleHeap records how much of the heap is in use, and then collects the garbage.
func (c *endlessConn) sampleHeap() {
	c.heldMost.Store(max(c.heldMost.Load(), heapBytes()))
	runtime.GC()
}

// collectedHeapBytes collects the garbage and returns the size of the objects that are left.
func collectedHeapBytes() int64 {
	runtime.GC()
	return heapBytes()
}

// heapBytes returns the size of all objects on the heap, garbage included.
func heapBytes() int64 {
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(sample)
	return int64(sample[0].Value.Uint64())
}

// repeated returns blocks that are all the same, of some kilobytes each.
func repeated(text string) func(int) string {
	block := strings.Repeat(text, 1+(8<<10)/len(text))
	return func(int) string { return block }
}

// endlessResponse is a response without an end, and the limit that a call has to end with.
type endlessResponse struct {
	name  string
	first string
	next  func(count int) string
	limit inputlimit.Limit
	most  int64 // bytes that the call may read
}

const (
	bodyHead = responseHead + "7fffffff\r\n" // a head and the beginning of a chunk without an end
	soundMsg = `{"generation":43,"reset":true,"instances":[` + readyInstance + "]}\n"
	listHead = bodyHead + `{"generation":43,"reset":true,"instances":[`
	// headMost and chunkMost are the most that may be read of a head, and with it of a chunk's line.
	headMost  = maxHeadBytes
	chunkMost = headMost + 2*4096
)

// messageMost and bodyMost are the most that may be read of a message, and of a body.
var (
	messageMost = int64(headMost + testLimits.MessageBytes + 4096)
	bodyMost    = int64(headMost + testLimits.responseBurst() + 2*4096)
)

var endlessResponses = []endlessResponse{
	{"status line", "HTTP/1.1 200 OK ", repeated("spoilt "), inputlimit.DiscoveryHead, headMost},
	{"status line of an error", "HTTP/1.1 500 ", repeated("spoilt "), inputlimit.DiscoveryHead, headMost},
	{"header line", "HTTP/1.1 200 OK\r\nX-Long: ", repeated("spoilt "), inputlimit.DiscoveryHead, headMost},
	{"header lines", "HTTP/1.1 200 OK\r\n", repeated("X-Short: a\r\n"), inputlimit.DiscoveryHead, headMost},
	{"chunk size", responseHead, repeated("0"), libraryLimit, chunkMost},
	{"chunk extension", responseHead + "5;", repeated("x"), libraryLimit, chunkMost},
	{"chunk extensions", responseHead, repeated("1;" + strings.Repeat("x", 100) + "\r\n \r\n"), libraryLimit,
		headMost + 2*4096 + 16<<10},
	{"trailers", responseHead + chunked(soundMsg, "") + "0\r\n", repeated("X-Short: a\r\n"), libraryLimit, chunkMost},
	{"string", listHead + `{"instanceId":"`, repeated("spoilt "), inputlimit.DiscoveryMessage, messageMost},
	{"key", bodyHead + `{"`, repeated("spoilt "), inputlimit.DiscoveryMessage, messageMost},
	{"list", listHead + readyInstance, repeated("," + readyInstance), inputlimit.DiscoveryMessage, messageMost},
	{"nested lists", bodyHead + `{"instances":`, repeated("["), libraryLimit, messageMost},
	{"small entries", bodyHead, repeated(`{"generation":43,"reset":true,"instances":[1` + strings.Repeat(",1", 1000) +
		"]}\n"), inputlimit.DiscoveryEntries, messageMost},
	{"spaces", bodyHead + soundMsg, repeated(" "), inputlimit.DiscoveryRate, bodyMost},
	{"heartbeats", bodyHead + soundMsg, repeated("\n"), inputlimit.DiscoveryUpdates, bodyMost},
	{"heartbeats in chunks", responseHead + chunked(soundMsg, ""), repeated(chunked("\n", "")),
		inputlimit.DiscoveryUpdates, bodyMost},
	{"complete lists", bodyHead, repeated(soundMsg), inputlimit.DiscoveryEntries, bodyMost},
	{"empty changes", bodyHead + soundMsg, repeated(`{"generation":43,"instances":[]}` + "\n"),
		inputlimit.DiscoveryRate, bodyMost},
	{"small objects", bodyHead + soundMsg, repeated(`{"generation":43}`), inputlimit.DiscoveryRate, bodyMost},
	{"outdated lists", bodyHead + soundMsg, repeated(strings.Replace(soundMsg, "43", "42", 1)),
		inputlimit.DiscoveryEntries, bodyMost},
	{"malformed entries", bodyHead + soundMsg, repeated(`{"generation":43,"reset":true,"instances":[` +
		strings.Repeat("{},", 99) + "{}]}\n"), inputlimit.DiscoveryEntries, bodyMost},
	{"new endpoints", bodyHead + soundMsg, func(count int) string {
		return fmt.Sprintf(`{"generation":%d,"instances":[{"instanceId":"n%d","lifecycle":"leaving"}]}`+"\n", 43+count, count)
	}, inputlimit.DiscoveryEndpoints, bodyMost},
}

// Guards against a node that is killed for its memory, or that serves nobody, because a response of
// discovery does not end: review case 1. Whatever part has no end, the call ends after a limited number of
// bytes, holds little memory, and is reported, so that the node can make the next call.
func TestEndlessResponsesAreLimited(t *testing.T) {
	for _, tt := range endlessResponses {
		t.Run(tt.name, func(t *testing.T) {
			pipe, far := net.Pipe()
			defer far.Close()
			conn := &endlessConn{Conn: pipe, first: tt.first, next: tt.next}
			countBefore := limitCount(tt.limit)
			heldBefore := collectedHeapBytes()
			readEndless(t, conn)
			conn.sampleHeap()
			if read := conn.read.Load(); read > tt.most {
				t.Errorf("read %d bytes, want at most %d", read, tt.most)
			}
			if held := conn.heldMost.Load() - heldBefore; held > maxHeldBytes {
				t.Errorf("held %d bytes, want at most %d", held, maxHeldBytes)
			}
			if count := limitCount(tt.limit); tt.limit != libraryLimit && count != countBefore+1 {
				t.Errorf("limit %v was exceeded %d times, want once", tt.limit, count-countBefore)
			}
		})
	}
}

// Whatever a response consists of, and whatever part of it is repeated without an end, the call ends after a
// limited number of bytes and holds little memory.
func FuzzEndlessResponse(f *testing.F) {
	for _, response := range endlessResponses {
		f.Add(response.first, response.next(1))
	}
	f.Fuzz(func(t *testing.T, first, part string) {
		if part == "" {
			return
		}
		pipe, far := net.Pipe()
		defer far.Close()
		conn := &endlessConn{Conn: pipe, first: first, next: repeated(part)}
		heldBefore := collectedHeapBytes()
		readEndless(t, conn)
		conn.sampleHeap()
		read, held := conn.read.Load(), conn.heldMost.Load()-heldBefore
		if read > bodyMost || held > maxHeldBytes+int64(len(part)) {
			t.Errorf("read %d bytes, want at most %d; held %d, want at most %d", read, bodyMost, held, maxHeldBytes)
		}
	})
}

// readEndless makes a call that is answered on the connection, and returns when the call has failed.
func readEndless(t *testing.T, conn net.Conn) {
	t.Helper()
	sink := make(droppingSink, 1)
	watcher := New("discovery:1", sink)
	watcher.Limits = testLimits
	watcher.Dial = func(context.Context, string, time.Time) (net.Conn, error) { return conn, nil }
	defer runWatcher(t.Context(), watcher)()
	watcher.Subscribe()
	select {
	case <-sink:
	case <-time.After(testTimeout):
		t.Error("the call goes on")
	}
}

// droppingSink is a Sink that only notes failures.
type droppingSink chan Update

func (s droppingSink) UpdateEndpoints(update Update) {
	if update.Kind != balance.ListFailed {
		return
	}
	select {
	case s <- update:
	default:
	}
}

// limitCount returns how often a limit was exceeded.
func limitCount(limit inputlimit.Limit) int64 {
	if limit == libraryLimit {
		return 0
	}
	return inputlimit.ExceededCount(limit)
}
