package replog

import (
	"bufio"
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"time"
)

// Every byte goes in frames: two bytes of length, and so many of AES-256-GCM, whose nonce
// counts the frames of its direction. Keys are of one connection and one direction: derived
// from the fleet's key and a nonce of either side, so that nothing recorded can be said again.
const (
	magic            = "CRF1"
	nonceSize        = 16
	maxFrameSize     = 32 << 10 // of plain text
	handshakeTimeout = 2 * time.Second
)

var (
	errFrame       = errors.New("a frame that was not sealed with the fleet's key")
	errNoHandshake = errors.New("no greeting of this fleet")
)

// conn is a connection on which all is sealed. Reads and writes may run beside each other,
// not two of a kind. After an error it is of no use any more.
type sealedConn struct {
	net.Conn
	reader                     *bufio.Reader
	opener, sealer             cipher.AEAD
	framesOpened, framesSealed uint64
	unread, readBuffer         []byte // what of the last frame is unread; and room for the next
	writeBuffer                []byte
	followerAddr               string // address of the follower behind it
}

func newAEAD(key, salt []byte, info string) (cipher.AEAD, error) {
	derived, err := hkdf.Key(sha256.New, key, salt, info, 32)
	if err != nil {
		return nil, err
	}
	block, err := aes.NewCipher(derived)
	if err != nil {
		return nil, err
	}
	return cipher.NewGCM(block)
}

// greet agrees on keys; the one who dials has called. The caller bounds it by a deadline.
// Neither side knows the other until a first frame has come from it.
func handshake(conn net.Conn, key []byte, isDialer bool) (*sealedConn, error) {
	ownNonce := make([]byte, nonceSize)
	_, _ = rand.Read(ownNonce)
	reader := bufio.NewReader(conn)
	peerNonce := make([]byte, nonceSize)
	if isDialer {
		if _, err := conn.Write(append([]byte(magic), ownNonce...)); err != nil {
			return nil, err
		}
		if _, err := io.ReadFull(reader, peerNonce); err != nil {
			return nil, err
		}
	} else {
		header := make([]byte, len(magic))
		if _, err := io.ReadFull(reader, header); err != nil {
			return nil, err
		}
		if string(header) != magic {
			return nil, errNoHandshake
		}
		if _, err := io.ReadFull(reader, peerNonce); err != nil {
			return nil, err
		}
		if _, err := conn.Write(ownNonce); err != nil {
			return nil, err
		}
	}
	salt := append(append([]byte{}, ownNonce...), peerNonce...)
	if !isDialer {
		salt = append(append([]byte{}, peerNonce...), ownNonce...)
	}
	fromDialer, err := newAEAD(key, salt, "coralrelay-record-1 caller")
	if err != nil {
		return nil, err
	}
	toDialer, err := newAEAD(key, salt, "coralrelay-record-1 called")
	if err != nil {
		return nil, err
	}
	if isDialer {
		return &sealedConn{Conn: conn, reader: reader, opener: toDialer, sealer: fromDialer}, nil
	}
	return &sealedConn{Conn: conn, reader: reader, opener: fromDialer, sealer: toDialer}, nil
}

func frameNonce(n uint64) []byte { return binary.BigEndian.AppendUint64(make([]byte, 4, 12), n) }

// Write seals p in as many frames as it needs and writes them at once.
func (c *sealedConn) Write(p []byte) (n int, err error) {
	c.writeBuffer = c.writeBuffer[:0]
	for rest := p; len(rest) > 0; {
		part := rest[:min(len(rest), maxFrameSize)]
		rest = rest[len(part):]
		headerAt := len(c.writeBuffer)
		c.writeBuffer = binary.BigEndian.AppendUint16(c.writeBuffer, uint16(len(part)+c.sealer.Overhead()))
		c.writeBuffer = c.sealer.Seal(c.writeBuffer, frameNonce(c.framesSealed), part, c.writeBuffer[headerAt:headerAt+2])
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

func (c *sealedConn) Read(p []byte) (int, error) {
	for len(c.unread) == 0 {
		var header [2]byte
		if _, err := io.ReadFull(c.reader, header[:]); err != nil {
			return 0, err
		}
		size := int(binary.BigEndian.Uint16(header[:]))
		if size < c.opener.Overhead() || size > maxFrameSize+c.opener.Overhead() {
			return 0, fmt.Errorf("%w: of %d bytes", errFrame, size)
		}
		if cap(c.readBuffer) < size {
			c.readBuffer = make([]byte, size)
		}
		frame := c.readBuffer[:size]
		if _, err := io.ReadFull(c.reader, frame); err != nil {
			return 0, err
		}
		plain, err := c.opener.Open(frame[:0], frameNonce(c.framesOpened), frame, header[:])
		if err != nil {
			_ = c.Close()
			return 0, errFrame
		}
		c.framesOpened++
		c.unread = plain
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}
