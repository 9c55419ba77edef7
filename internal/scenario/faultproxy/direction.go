package faultproxy

import (
	"context"
	"errors"
	"io"
	"net"
	"time"
)

// A direction of a stream has at most maxChunksInFlight chunks of chunkSize bytes in flight; more is
// not read until some have arrived.
const (
	maxChunksInFlight = 64
	chunkSize         = 16 << 10
)

// direction is one direction of a stream.
type direction struct {
	in, out net.Conn
	link    pair
}

// chunk is what was read at once; without bytes it is the direction's end.
type chunk struct {
	dueAt time.Time
	bytes []byte
}

// forwardDirection copies one direction until it ends, and passes its end on. It returns false if
// the stream broke.
func (p *Proxy) forwardDirection(ctx context.Context, d direction) bool {
	ctx, cancel := context.WithCancel(ctx)
	chunks := make(chan chunk, maxChunksInFlight)
	read := make(chan bool, 1)
	go func() {
		defer close(chunks)
		read <- p.readChunks(ctx, d, chunks)
	}()
	isWritten := writeChunks(ctx, d.out, chunks)
	if !isWritten {
		_ = d.in.SetReadDeadline(time.Now()) // nobody waits for what it sends any more
	}
	cancel()
	return <-read && isWritten
}

// readChunks reads what arrives, each chunk with the time at which it is due, in order.
func (p *Proxy) readChunks(ctx context.Context, d direction, chunks chan<- chunk) bool {
	var dueAt time.Time // of the chunk before
	for passed := 0; ; {
		buffer := make([]byte, chunkSize)
		n, err := d.in.Read(buffer)
		if n > 0 || errors.Is(err, io.EOF) {
			f := p.drawStreamFate(d.link, n)
			if f.copies == 0 {
				// What is lost here is not retransmitted; both ends see that when the cut heals.
				_, _ = p.waitWhileCut(ctx, d.link)
				return false
			}
			if at := time.Now().Add(f.delay); at.After(dueAt) {
				dueAt = at
			}
			fault := p.currentFault(d.link)
			isReset := fault.ResetAt > 0 && passed+n >= fault.ResetAt
			if isReset {
				n = max(0, fault.ResetAt-passed)
			}
			passed += n
			if isReset && n == 0 {
				return false
			}
			if !sendChunk(ctx, chunks, dueAt, buffer[:n], fault.ByteByByte) || isReset {
				return false
			}
		}
		if err != nil {
			return errors.Is(err, io.EOF)
		}
	}
}

// sendChunk passes bytes on, or the direction's end if there are none, in pieces of a byte if it is told
// to. It returns false if ctx ended first.
func sendChunk(ctx context.Context, chunks chan<- chunk, dueAt time.Time, bytes []byte, inPieces bool) bool {
	size := max(len(bytes), 1)
	if inPieces {
		size = 1
	}
	for sent := 0; sent == 0 || sent < len(bytes); sent += size {
		select {
		case chunks <- chunk{dueAt, bytes[sent:min(sent+size, len(bytes))]}:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// writeChunks writes chunks when they are due, until there are no more. It returns false if it could
// not.
func writeChunks(ctx context.Context, out net.Conn, chunks <-chan chunk) bool {
	for c := range chunks {
		if !sleep(ctx, time.Until(c.dueAt)) {
			return false
		}
		if len(c.bytes) == 0 {
			tcp, ok := out.(*net.TCPConn)
			return ok && tcp.CloseWrite() == nil
		}
		if _, err := out.Write(c.bytes); err != nil {
			return false
		}
	}
	return true // the reader reports whether that was the end
}
