package replog

import (
	"bufio"
	"crypto/cipher"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
)

// maxFrameSize is the maximum plaintext of a frame, in bytes.
const maxFrameSize = 32 << 10

// errFrame reports a frame that was altered or sealed with another key.
var errFrame = errors.New("frame is not sealed with the fleet's key")

// sealedConn is a connection that transfers all data in sealed frames. A frame is its length
// (two bytes, big-endian) and that many bytes of AES-256-GCM output, with the length as
// additional data. The nonce is the number of the frame in its direction. One goroutine may
// read while another writes. After an error a sealedConn must not be used any more.
type sealedConn struct {
	net.Conn
	reader       *bufio.Reader
	opener       cipher.AEAD
	sealer       cipher.AEAD
	framesOpened uint64
	framesSealed uint64
	unread       []byte // plaintext of the last frame that was not read yet
	readBuffer   []byte // for the frame being read
	writeBuffer  []byte // for the frames of one write
	followerAddr string // the follower's address, from its hello
}

// frameNonce returns the nonce of frame n in one direction.
func frameNonce(n uint64) []byte { return binary.BigEndian.AppendUint64(make([]byte, 4, 12), n) }

// Write seals p in as many frames as needed and writes them in one call.
func (c *sealedConn) Write(p []byte) (n int, err error) {
	c.writeBuffer = c.writeBuffer[:0]
	for rest := p; len(rest) > 0; {
		part := rest[:min(len(rest), maxFrameSize)]
		rest = rest[len(part):]
		headerAt := len(c.writeBuffer)
		c.writeBuffer = binary.BigEndian.AppendUint16(c.writeBuffer, uint16(len(part)+c.sealer.Overhead()))
		header := c.writeBuffer[headerAt:]
		c.writeBuffer = c.sealer.Seal(c.writeBuffer, frameNonce(c.framesSealed), part, header)
		c.framesSealed++
	}
	if _, err := c.Conn.Write(c.writeBuffer); err != nil {
		return 0, err
	}
	if cap(c.writeBuffer) > 4*maxFrameSize {
		c.writeBuffer = nil
	}
	return len(p), nil
}

// Read reads plaintext, from at most one frame.
func (c *sealedConn) Read(p []byte) (int, error) {
	for len(c.unread) == 0 {
		if err := c.readFrame(); err != nil {
			return 0, err
		}
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// readFrame reads the next frame and stores its plaintext in unread.
func (c *sealedConn) readFrame() error {
	var header [2]byte
	if _, err := io.ReadFull(c.reader, header[:]); err != nil {
		return err
	}
	size := int(binary.BigEndian.Uint16(header[:]))
	if size < c.opener.Overhead() || size > maxFrameSize+c.opener.Overhead() {
		return fmt.Errorf("%w: of %d bytes", errFrame, size)
	}
	if cap(c.readBuffer) < size {
		c.readBuffer = make([]byte, size)
	}
	frame := c.readBuffer[:size]
	if _, err := io.ReadFull(c.reader, frame); err != nil {
		return err
	}
	plaintext, err := c.opener.Open(frame[:0], frameNonce(c.framesOpened), frame, header[:])
	if err != nil {
		_ = c.Close()
		return errFrame
	}
	c.framesOpened++
	c.unread = plaintext
	return nil
}
