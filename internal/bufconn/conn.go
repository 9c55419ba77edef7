// Package bufconn wraps a network connection, of a client or to an upstream, with buffers
// for reading and writing lines. It builds on net/textproto; all buffers have one size, that
// of the longest line, and come from one pool.
//
// The package starts no goroutines. Its methods return the errors of the connection, those
// of a deadline included (os.ErrDeadlineExceeded), and bufio.ErrBufferFull for a line that
// is too long.
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

// BufferSize is the length of the longest line and the size of every buffer, in bytes.
const BufferSize = 4096

const (
	// fastDiscardBytes is how much DiscardInput reads at full speed.
	fastDiscardBytes = 16 * BufferSize
	// slowDiscardPause is its pause between two buffers beyond that.
	slowDiscardPause = 25 * time.Millisecond
)

var bufferPool = sync.Pool{New: func() any {
	return bufio.NewReadWriter(bufio.NewReaderSize(nil, BufferSize), bufio.NewWriterSize(nil, BufferSize))
}}

// PastDeadline is a read deadline that interrupts a read at once.
var PastDeadline = time.Unix(1, 0)

// Conn is a connection with its buffers. One goroutine at a time may read and one may
// write; Close, InterruptRead and SetReadDeadline may be called by any.
type Conn struct {
	net.Conn
	textproto.Reader
	textproto.Writer
	pooled *bufio.ReadWriter // nil after Release
}

// New returns a Conn on conn. It holds buffers until Release.
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

// NewWithUnread returns a Conn on conn whose input starts with bytes that another process
// had read from the connection and not used.
func NewWithUnread(conn net.Conn, unread []byte) *Conn {
	c := New(conn)
	if len(unread) > 0 {
		c.pooled.Reader.Reset(io.MultiReader(bytes.NewReader(unread), conn))
	}
	return c
}

// Unread returns what was read from the connection and not used. It is valid until the next
// read.
func (c *Conn) Unread() []byte {
	unread, _ := c.R.Peek(c.R.Buffered()) // can't fail: all of it is buffered
	return unread
}

// ReadRawLine returns the next line with its line end, valid until the next read. A read
// that fails consumes nothing, as a deadline may pass in the middle of a line that is still
// on its way. It replaces textproto's ReadLine, which takes a line that is cut off by the
// end of the connection for a complete one and reads an endless one until memory runs out:
// here the first is io.EOF, the second bufio.ErrBufferFull.
func (c *Conn) ReadRawLine() ([]byte, error) {
	for {
		line, complete := c.firstLine()
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

// firstLine returns what is buffered, up to the end of the first line, and whether that end
// is there.
func (c *Conn) firstLine() (line []byte, complete bool) {
	unread := c.Unread()
	if i := bytes.IndexByte(unread, '\n'); i >= 0 {
		return unread[:i+1], true
	}
	return unread, false
}

// HasLine reports whether a complete line is buffered, so that reading it does not block.
func (c *Conn) HasLine() bool {
	_, complete := c.firstLine()
	return complete
}

// ReadTextLineBefore returns the next line without its line end, read before the deadline. A deadline
// that a read has set before does not count any more, and its own is left: Detach clears it, or the
// reader that comes next.
func (c *Conn) ReadTextLineBefore(deadline time.Time) ([]byte, error) {
	if err := c.SetReadDeadline(deadline); err != nil {
		return nil, err
	}
	return c.ReadTextLine()
}

// ReadTextLine returns the next line without its line end, by the read deadline as it is.
func (c *Conn) ReadTextLine() ([]byte, error) {
	line, err := c.ReadRawLine()
	return bytes.TrimRight(line, "\r\n"), err
}

// WriteLine writes a line and its line end before the deadline.
func (c *Conn) WriteLine(line string, deadline time.Time) error {
	if err := c.SetWriteDeadline(deadline); err != nil {
		return err
	}
	return c.PrintfLine("%s", line)
}

// AppendLine buffers a line that has its line end. If the buffer has no room for it, what is buffered is
// written before the deadline.
func (c *Conn) AppendLine(line []byte, deadline time.Time) error {
	if len(line) > c.W.Available() {
		if err := c.SetWriteDeadline(deadline); err != nil {
			return err
		}
	}
	_, err := c.W.Write(line)
	return err
}

// Flush writes what is buffered before the deadline.
func (c *Conn) Flush(deadline time.Time) error {
	if err := c.SetWriteDeadline(deadline); err != nil {
		return err
	}
	return c.W.Flush()
}

// InterruptRead ends a read that is waiting, and all later ones until the read deadline is
// set again, with os.ErrDeadlineExceeded.
func (c *Conn) InterruptRead() { _ = c.SetReadDeadline(PastDeadline) }

// Abort closes a TCP connection with a reset.
func (c *Conn) Abort() {
	if tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// CloseWrite closes the sending half. What was written arrives then, although unread input
// would turn a plain close into a reset.
func (c *Conn) CloseWrite() {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = closer.CloseWrite()
	}
}

// LingeringClose writes a last line before the deadline, closes the connection and releases
// the buffers. For as long as linger it discards what the other side still sends, so that
// unread input does not reset the connection before the last line was read. It returns the
// error of the write.
func (c *Conn) LingeringClose(line string, deadline time.Time, linger time.Duration) error {
	err := c.WriteLine(line, deadline)
	c.CloseWrite()
	_ = c.SetReadDeadline(time.Now().Add(linger))
	c.Linger()
	return err
}

// Linger discards what the other side still sends until the read deadline, and what has arrived by then, since
// unread input would reset the connection. Then it closes the connection and releases the buffers.
func (c *Conn) Linger() {
	c.DiscardInput()
	_ = DiscardAvailable(c.Conn)
	c.Release()
}

// DiscardInput reads and discards input until the other side ends or the read deadline has
// passed. Unread input would turn the close into a reset, which might overtake the last
// line that was written. Beyond fastDiscardBytes it reads slowly: a peer that has 60 MB to
// send is given the time to read that line, and costs no more than that.
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

// Release closes the connection and returns the buffers to the pool. Nothing may read or
// write any more. A second call does nothing.
func (c *Conn) Release() {
	_ = c.Close()
	c.releaseBuffers()
}

// releaseBuffers returns the buffers to the pool.
func (c *Conn) releaseBuffers() {
	if c.pooled == nil {
		return
	}
	c.pooled.Reader.Reset(nil)
	c.pooled.Writer.Reset(nil)
	bufferPool.Put(c.pooled)
	c.pooled = nil
}
