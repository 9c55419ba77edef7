// Package bufconn wraps a network connection, to a client or an upstream, with buffers for reading
// and writing lines. It builds on net/textproto. All buffers have the size of the longest allowed
// line and come from one pool.
//
// The package starts no goroutines. Its methods return the errors of the underlying connection,
// including os.ErrDeadlineExceeded when a deadline has passed, and bufio.ErrBufferFull for a line
// that is longer than BufferSize.
package bufconn

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/textproto"
	"sync"
	"time"
)

// BufferSize is the maximum length of a line and the size of every buffer, in bytes.
const BufferSize = 4096

const (
	// fastDiscardBytes is how many bytes DiscardInput reads without pausing, and the most that
	// DiscardAvailable reads.
	fastDiscardBytes = 16 * BufferSize
	// slowDiscardPause is the pause between two reads of DiscardInput beyond fastDiscardBytes.
	slowDiscardPause = 25 * time.Millisecond
)

var bufferPool = sync.Pool{New: func() any {
	return bufio.NewReadWriter(bufio.NewReaderSize(nil, BufferSize), bufio.NewWriterSize(nil, BufferSize))
}}

// PastDeadline is a time in the past. Set as the read deadline, it interrupts a pending read at
// once.
var PastDeadline = time.Unix(1, 0)

// Conn is a buffered network connection. At most one goroutine may read and one may write at a
// time; Close, InterruptRead and SetReadDeadline may be called concurrently with them.
type Conn struct {
	net.Conn
	textproto.Reader
	textproto.Writer
	pooled *bufio.ReadWriter // nil once the buffers are back in the pool
}

// New returns a Conn on conn. It takes its buffers from the pool; Release and Detach return them.
func New(conn net.Conn) *Conn {
	buffers := bufferPool.Get().(*bufio.ReadWriter)
	buffers.Reader.Reset(conn)
	buffers.Writer.Reset(conn)
	return &Conn{
		Conn:   conn,
		Reader: textproto.Reader{R: buffers.Reader},
		Writer: textproto.Writer{W: buffers.Writer},
		pooled: buffers,
	}
}

// NewWithUnread returns a Conn on conn whose input starts with unread: bytes that another process
// has read from the connection but not processed.
func NewWithUnread(conn net.Conn, unread []byte) *Conn {
	c := New(conn)
	if len(unread) > 0 {
		c.pooled.Reader.Reset(io.MultiReader(bytes.NewReader(unread), conn))
	}
	return c
}

// Unread returns the bytes that were read from the connection and not yet consumed. The slice is
// valid until the next read.
func (c *Conn) Unread() []byte {
	unread, _ := c.R.Peek(c.R.Buffered()) // cannot fail: only buffered bytes are requested
	return unread
}

// ReadRawLine returns the next line including its line ending. The slice is valid until the next
// read. A failed read consumes nothing, as the read deadline may pass while the rest of a line is
// still to arrive. ReadRawLine replaces textproto.Reader.ReadLine, which accepts a line that is
// truncated by the end of the connection as complete, and reads an endless line until memory is
// exhausted: ReadRawLine returns io.EOF for the former and bufio.ErrBufferFull for the latter.
func (c *Conn) ReadRawLine() ([]byte, error) {
	for {
		line, complete := c.peekLine()
		switch {
		case complete:
			_, err := c.R.Discard(len(line))
			return line, err
		case len(line) == BufferSize:
			return nil, bufio.ErrBufferFull
		}
		if _, err := c.R.Peek(len(line) + 1); err != nil {
			return nil, err
		}
	}
}

// peekLine returns the buffered bytes up to and including the first newline, and whether that
// newline is buffered.
func (c *Conn) peekLine() (line []byte, complete bool) {
	unread := c.Unread()
	if i := bytes.IndexByte(unread, '\n'); i >= 0 {
		return unread[:i+1], true
	}
	return unread, false
}

// HasLine reports whether a complete line is buffered, so that reading it does not block.
func (c *Conn) HasLine() bool {
	_, complete := c.peekLine()
	return complete
}

// ReadTextLineBefore returns the next line without its line ending, read before deadline. The
// deadline replaces an earlier read deadline and stays set until Detach or the next reader changes
// it.
func (c *Conn) ReadTextLineBefore(deadline time.Time) ([]byte, error) {
	if err := c.SetReadDeadline(deadline); err != nil {
		return nil, err
	}
	return c.ReadTextLine()
}

// ReadTextLine returns the next line without its line ending. The current read deadline applies.
func (c *Conn) ReadTextLine() ([]byte, error) {
	line, err := c.ReadRawLine()
	return bytes.TrimRight(line, "\r\n"), err
}

// WriteLine writes line and a line ending before deadline.
func (c *Conn) WriteLine(line string, deadline time.Time) error {
	if err := c.SetWriteDeadline(deadline); err != nil {
		return err
	}
	return c.PrintfLine("%s", line)
}

// AppendLine buffers line, which includes its line ending. If the buffer has no room for it, the
// buffered bytes are written before deadline.
func (c *Conn) AppendLine(line []byte, deadline time.Time) error {
	if len(line) > c.W.Available() {
		if err := c.SetWriteDeadline(deadline); err != nil {
			return err
		}
	}
	_, err := c.W.Write(line)
	return err
}

// Flush writes the buffered bytes before deadline.
func (c *Conn) Flush(deadline time.Time) error {
	if err := c.SetWriteDeadline(deadline); err != nil {
		return err
	}
	return c.W.Flush()
}

// InterruptRead makes a pending read, and all later reads until the read deadline is set again,
// fail with os.ErrDeadlineExceeded.
func (c *Conn) InterruptRead() { _ = c.SetReadDeadline(PastDeadline) }

// Abort closes the connection. A TCP connection is reset.
func (c *Conn) Abort() {
	if tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// CloseWrite closes the sending side of the connection. Bytes written before still reach the peer,
// whereas a plain close with unread input would reset the connection.
func (c *Conn) CloseWrite() {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = closer.CloseWrite()
	}
}

// LingeringClose writes a last line before deadline, closes the connection and releases the
// buffers. Before it closes the connection, it discards further input for up to linger, so that
// unread input does not reset the connection before the peer has read the last line. It returns the
// error of the write.
func (c *Conn) LingeringClose(line string, deadline time.Time, linger time.Duration) error {
	err := c.WriteLine(line, deadline)
	c.CloseWrite()
	_ = c.SetReadDeadline(time.Now().Add(linger))
	c.Linger()
	return err
}

// Linger discards input until the peer closes its sending side or the read deadline passes, and
// then the input that has already been received, since unread input would reset the connection. It
// then closes the connection and releases the buffers.
func (c *Conn) Linger() {
	c.DiscardInput()
	_ = DiscardAvailable(c.Conn)
	c.Release()
}

// DiscardInput reads and discards input until the peer closes its sending side or the read deadline
// passes. Closing the connection with unread input would reset it, and the reset might overtake the
// last line that was written. Beyond fastDiscardBytes, DiscardInput reads slowly: a peer with 60 MB
// to send then has time to read that line, at little cost to this process.
func (c *Conn) DiscardInput() {
	for discarded := 0; ; {
		n, err := c.R.Discard(max(1, c.R.Buffered()))
		if err != nil {
			return
		}
		if discarded += n; discarded > fastDiscardBytes {
			time.Sleep(slowDiscardPause)
		}
	}
}

// Release closes the connection and returns the buffers to the pool. The Conn must not be read or
// written afterwards. Further calls do nothing.
func (c *Conn) Release() {
	_ = c.Close()
	c.releaseBuffers()
}

// releaseBuffers returns the buffers to the pool, unless it has done so before.
func (c *Conn) releaseBuffers() {
	if c.pooled == nil {
		return
	}
	c.pooled.Reader.Reset(nil)
	c.pooled.Writer.Reset(nil)
	bufferPool.Put(c.pooled)
	c.pooled = nil
}
