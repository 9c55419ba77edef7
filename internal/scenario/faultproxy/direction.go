package faultproxy

import (
	"context"
	"errors"
	"io"
	"net"
	"time"
)

// Each direction of a stream has at most maxChunksInFlight chunks of chunkSize bytes in flight. Once
// the limit is reached, the proxy reads no more until a chunk has been written.
const (
	maxChunksInFlight = 64
	chunkSize         = 16 << 10
)

// direction is one direction of a stream.
type direction struct {
	in, out net.Conn
	link    pair
}

// chunk has the bytes of one read, or of a piece of it. A chunk without bytes is the end of the
// direction.
type chunk struct {
	dueAt time.Time
	bytes []byte
}

// forwardDirection copies one direction until its end and forwards the end. It returns false if the
// stream broke.
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
		_ = d.in.SetReadDeadline(time.Now()) // unblocks readChunks, whose chunks can no longer be written
	}
	cancel()
	return <-read && isWritten
}

// readChunks reads the bytes that arrive and passes them on as chunks, with due times that never
// decrease. It returns true if it reached the end of the direction.
func (p *Proxy) readChunks(ctx context.Context, d direction, chunks chan<- chunk) bool {
	var dueAt time.Time // of the previous chunk
	for passed := 0; ; {
		buffer := make([]byte, chunkSize)
		n, err := d.in.Read(buffer)
		if n > 0 || errors.Is(err, io.EOF) {
			result := p.drawStreamOutcome(d.link, n)
			if result.copies == 0 {
				// The lost bytes are not retransmitted. Both ends notice when the cut is removed and the
				// stream is closed.
				_, _ = p.waitWhileCut(ctx, d.link)
				return false
			}
			if at := time.Now().Add(result.delay); at.After(dueAt) {
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

// sendChunk passes bytes on as one chunk, or as chunks of one byte each if inPieces is true. Without
// bytes it passes on the end of the direction. It returns false if ctx ended first.
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

// writeChunks writes each chunk when it is due, until the channel is closed. It returns false if a
// write failed or ctx ended.
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
	return true // readChunks reports whether the direction reached its end
}
