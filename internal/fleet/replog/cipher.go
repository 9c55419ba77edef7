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
	magic     = "CRF1"
	nonceSize = 16
	frameMost = 32 << 10 // of plain text
	shake     = 2 * time.Second
)

var (
	errFrame   = errors.New("a frame that was not sealed with the fleet's key")
	errNoHello = errors.New("no greeting of this fleet")
)

// conn is a connection on which all is sealed. Reads and writes may run beside each other,
// not two of a kind. After an error it is of no use any more.
type conn struct {
	net.Conn
	in           *bufio.Reader
	open, seal   cipher.AEAD
	opened, said uint64
	left, box    []byte // what of the last frame is unread; and room for the next
	out          []byte
	peer         string // address of the follower behind it
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
func greet(c net.Conn, key []byte, called bool) (*conn, error) {
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
			return nil, errNoHello
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
		return &conn{Conn: c, in: in, open: toCaller, seal: fromCaller}, nil
	}
	return &conn{Conn: c, in: in, open: fromCaller, seal: toCaller}, nil
}

func count(n uint64) []byte { return binary.BigEndian.AppendUint64(make([]byte, 4, 12), n) }

// Write seals p in as many frames as it needs and writes them at once.
func (c *conn) Write(p []byte) (n int, err error) {
	c.out = c.out[:0]
	for left := p; len(left) > 0; {
		part := left[:min(len(left), frameMost)]
		left = left[len(part):]
		at := len(c.out)
		c.out = binary.BigEndian.AppendUint16(c.out, uint16(len(part)+c.seal.Overhead()))
		c.out = c.seal.Seal(c.out, count(c.said), part, c.out[at:at+2])
		c.said++
	}
	if _, err := c.Conn.Write(c.out); err != nil {
		return 0, err
	}
	if cap(c.out) > 4*frameMost {
		c.out = nil
	}
	return len(p), nil
}

func (c *conn) Read(p []byte) (int, error) {
	for len(c.left) == 0 {
		var head [2]byte
		if _, err := io.ReadFull(c.in, head[:]); err != nil {
			return 0, err
		}
		size := int(binary.BigEndian.Uint16(head[:]))
		if size < c.open.Overhead() || size > frameMost+c.open.Overhead() {
			return 0, fmt.Errorf("%w: of %d bytes", errFrame, size)
		}
		if cap(c.box) < size {
			c.box = make([]byte, size)
		}
		box := c.box[:size]
		if _, err := io.ReadFull(c.in, box); err != nil {
			return 0, err
		}
		plain, err := c.open.Open(box[:0], count(c.opened), box, head[:])
		if err != nil {
			_ = c.Close()
			return 0, errFrame
		}
		c.opened++
		c.left = plain
	}
	n := copy(p, c.left)
	c.left = c.left[n:]
	return n, nil
}
