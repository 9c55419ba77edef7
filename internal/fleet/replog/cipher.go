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
	k, err := hkdf.Key(sha256.New, key, salt, info, 32)
	if err != nil {
		return nil, err
	}
	b, err := aes.NewCipher(k)
	if err != nil {
		return nil, err
	}
	return cipher.NewGCM(b)
}

// greet agrees on keys; the one who dials has called. The caller bounds it by a deadline.
// Neither side knows the other until a first frame has come from it.
func handshake(c net.Conn, key []byte, called bool) (*sealedConn, error) {
	mine := make([]byte, nonceSize)
	_, _ = rand.Read(mine)
	in := bufio.NewReader(c)
	other := make([]byte, nonceSize)
	if called {
		if _, err := c.Write(append([]byte(magic), mine...)); err != nil {
			return nil, err
		}
		if _, err := io.ReadFull(in, other); err != nil {
			return nil, err
		}
	} else {
		head := make([]byte, len(magic))
		if _, err := io.ReadFull(in, head); err != nil {
			return nil, err
		}
		if string(head) != magic {
			return nil, errNoHandshake
		}
		if _, err := io.ReadFull(in, other); err != nil {
			return nil, err
		}
		if _, err := c.Write(mine); err != nil {
			return nil, err
		}
	}
	salt := append(append([]byte{}, mine...), other...)
	if !called {
		salt = append(append([]byte{}, other...), mine...)
	}
	fromCaller, err := newAEAD(key, salt, "coralrelay-record-1 caller")
	if err != nil {
		return nil, err
	}
	toCaller, err := newAEAD(key, salt, "coralrelay-record-1 called")
	if err != nil {
		return nil, err
	}
	if called {
		return &sealedConn{Conn: c, reader: in, opener: toCaller, sealer: fromCaller}, nil
	}
	return &sealedConn{Conn: c, reader: in, opener: fromCaller, sealer: toCaller}, nil
}

func frameNonce(n uint64) []byte { return binary.BigEndian.AppendUint64(make([]byte, 4, 12), n) }

// Write seals p in as many frames as it needs and writes them at once.
func (c *sealedConn) Write(p []byte) (n int, err error) {
	c.writeBuffer = c.writeBuffer[:0]
	for left := p; len(left) > 0; {
		part := left[:min(len(left), maxFrameSize)]
		left = left[len(part):]
		at := len(c.writeBuffer)
		c.writeBuffer = binary.BigEndian.AppendUint16(c.writeBuffer, uint16(len(part)+c.sealer.Overhead()))
		c.writeBuffer = c.sealer.Seal(c.writeBuffer, frameNonce(c.framesSealed), part, c.writeBuffer[at:at+2])
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
		var head [2]byte
		if _, err := io.ReadFull(c.reader, head[:]); err != nil {
			return 0, err
		}
		size := int(binary.BigEndian.Uint16(head[:]))
		if size < c.opener.Overhead() || size > maxFrameSize+c.opener.Overhead() {
			return 0, fmt.Errorf("%w: of %d bytes", errFrame, size)
		}
		if cap(c.readBuffer) < size {
			c.readBuffer = make([]byte, size)
		}
		box := c.readBuffer[:size]
		if _, err := io.ReadFull(c.reader, box); err != nil {
			return 0, err
		}
		plain, err := c.opener.Open(box[:0], frameNonce(c.framesOpened), box, head[:])
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
