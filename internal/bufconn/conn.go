// Package leg wraps one connection of a transaction: the caller leg or the leg
// to a next hop. It stands on net/textproto; its buffers have one size, the
// longest line, and come from one pool.
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

// Size is the longest line and the size of every buffer.
const BufferSize = 4096

// leftover is what Drain reads at full speed, and slowly its pause between two
// buffers beyond.
const (
	fastDiscardBytes = 16 * BufferSize
	slowDiscardPause = 25 * time.Millisecond
)

var bufferPool = sync.Pool{New: func() any {
	return bufio.NewReadWriter(bufio.NewReaderSize(nil, BufferSize), bufio.NewWriterSize(nil, BufferSize))
}}

// Past is a read deadline that wakes a reader at once.
var PastDeadline = time.Unix(1, 0)

// Leg is one connection with its buffers. One goroutine at a time may read and
// one may write; Close and SetReadDeadline may come from any.
type Conn struct {
	net.Conn
	textproto.Reader
	textproto.Writer
	pooled *bufio.ReadWriter
}

// New returns a Leg on conn that holds buffers until Release.
func New(conn net.Conn) *Conn {
	buffers := bufferPool.Get().(*bufio.ReadWriter)
	buffers.Reader.Reset(conn)
	buffers.Writer.Reset(conn)
	return &Conn{Conn: conn, Reader: textproto.Reader{R: buffers.Reader}, Writer: textproto.Writer{W: buffers.Writer}, pooled: buffers}
}

// Resume returns a Leg on conn from which another process had read some bytes that it
// did not use.
func NewWithUnread(conn net.Conn, read []byte) *Conn {
	l := New(conn)
	if len(read) > 0 {
		l.pooled.Reader.Reset(io.MultiReader(bytes.NewReader(read), conn))
	}
	return l
}

// Unread returns what was read from the connection and not used, valid until the next
// read.
func (l *Conn) Unread() []byte {
	b, _ := l.R.Peek(l.R.Buffered())
	return b
}

// ReadRaw returns the next line with its end, valid until the next read. A read
// that fails takes nothing: a deadline may come in the middle of a line that is
// still on its way. It stands in for textproto's ReadLine, which takes a line cut
// off by the end of the connection for a whole one and reads an endless one until
// memory is out: here the first is io.EOF, the second bufio.ErrBufferFull.
func (l *Conn) ReadRawLine() ([]byte, error) {
	for {
		line, complete := l.firstLine()
		switch {
		case complete:
			_, err := l.R.Discard(len(line))
			return line, err
		case len(line) == BufferSize:
			return nil, bufio.ErrBufferFull
		}
		if _, err := l.R.Peek(len(line) + 1); err != nil {
			return nil, err
		}
	}
}

// buffered returns what is buffered, up to the end of the first line.
func (l *Conn) firstLine() (line []byte, complete bool) {
	b := l.Unread()
	if i := bytes.IndexByte(b, '\n'); i >= 0 {
		return b[:i+1], true
	}
	return b, false
}

// HasLine tells whether a whole line is buffered, so that reading it won't wait.
func (l *Conn) HasLine() bool {
	_, complete := l.firstLine()
	return complete
}

// ReadText returns the next line without its end, read before the deadline.
func (l *Conn) ReadTextLineBefore(deadline time.Time) ([]byte, error) {
	if err := l.SetReadDeadline(deadline); err != nil {
		return nil, err
	}
	return l.ReadTextLine()
}

// NextText returns the next line without its end, by the read deadline as it is.
func (l *Conn) ReadTextLine() ([]byte, error) {
	line, err := l.ReadRawLine()
	return bytes.TrimRight(line, "\r\n"), err
}

// WriteText writes a line and its end before the deadline.
func (l *Conn) WriteLine(line string, deadline time.Time) error {
	if err := l.SetWriteDeadline(deadline); err != nil {
		return err
	}
	return l.PrintfLine("%s", line)
}

// Flush writes what is buffered before the deadline.
func (l *Conn) Flush(deadline time.Time) error {
	if err := l.SetWriteDeadline(deadline); err != nil {
		return err
	}
	return l.W.Flush()
}

// Wake ends a read that is waiting.
func (l *Conn) InterruptRead() { _ = l.SetReadDeadline(PastDeadline) }

// Abort closes the connection with a reset, as its other side was.
func (l *Conn) Abort() {
	if tcp, ok := l.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = l.Close()
}

// FinishWrites ends the sending half, so that what was written arrives although
// unread lines of the other side would turn a plain close into a reset.
func (l *Conn) CloseWrite() {
	if closer, ok := l.Conn.(interface{ CloseWrite() error }); ok {
		_ = closer.CloseWrite()
	}
}

// Farewell writes a last line before the deadline and ends the leg. Unread lines of
// the other side, which may come for as long as it lingers, don't reset it before it
// has read that. It tells whether the line was written.
func (l *Conn) LingeringClose(line string, deadline time.Time, linger time.Duration) error {
	err := l.WriteLine(line, deadline)
	l.CloseWrite()
	_ = l.SetReadDeadline(time.Now().Add(linger))
	l.DiscardInput()
	l.Release()
	return err
}

// Drain reads and drops until the other side ends or the read deadline has come,
// so that unread lines don't turn the close into a reset, which might overtake the
// last line written. Beyond leftover it reads slowly: who has 60 MB to send is
// given the time to read that line, and costs no more than that.
func (l *Conn) DiscardInput() {
	for discarded := 0; ; {
		n, err := l.R.Discard(max(1, l.R.Buffered()))
		if err != nil {
			return
		}
		if discarded += n; discarded > fastDiscardBytes {
			time.Sleep(slowDiscardPause)
		}
	}
}

// Release closes the connection and gives the buffers back. Nobody may read or
// write any more.
func (l *Conn) Release() {
	_ = l.Close()
	if l.pooled == nil {
		return
	}
	l.pooled.Reader.Reset(nil)
	l.pooled.Writer.Reset(nil)
	bufferPool.Put(l.pooled)
	l.pooled = nil
}
