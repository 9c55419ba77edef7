package replog

import (
	"bytes"
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/sha256"
	"io"
	"net"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// pair returns both ends of a connection, each with its key.
func connectedPair(t interface{ Fatal(...any) }, callerKey, calledKey string, wire func(net.Conn) net.Conn) (caller, called *sealedConn) {
	a, b := net.Pipe()
	for _, c := range []net.Conn{a, b} {
		_ = c.SetDeadline(time.Now().Add(testTimeout))
	}
	done := make(chan error, 1)
	go func() {
		var err error
		called, err = handshake(b, []byte(calledKey), false)
		done <- err
	}()
	caller, err := handshake(wire(a), []byte(callerKey), true)
	if err != nil {
		t.Fatal(err)
	}
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	return caller, called
}

func unaltered(c net.Conn) net.Conn { return c }

// What is said comes out as it was, in whatever parts it is said and read.
func TestFramesArriveUnchangedInAnySplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := connectedPair(t, "0123456789abcdef", "0123456789abcdef", unaltered)
		defer func() { _, _ = a.Close(), b.Close() }()
		parts := rapid.SliceOfN(rapid.IntRange(0, 3*maxFrameSize), 1, 5).Draw(t, "parts")
		seed := rapid.SliceOfN(rapid.Byte(), 1, 40).Draw(t, "seed")
		var want []byte
		go func() {
			for i, n := range parts {
				_, _ = a.Write(bytes.Repeat(seed, n/len(seed)+i))
			}
			_ = a.Close()
		}()
		for i, n := range parts {
			want = append(want, bytes.Repeat(seed, n/len(seed)+i)...)
		}
		got, _ := io.ReadAll(io.LimitReader(b, int64(len(want))))
		if !bytes.Equal(got, want) {
			t.Fatalf("%d bytes came of %d, or others", len(got), len(want))
		}
	})
}

// spoiling flips one bit of what is written after the greeting.
type bitFlipper struct {
	net.Conn
	offset, written int
}

func (s *bitFlipper) Write(p []byte) (int, error) {
	if at := s.offset - s.written; at >= 0 && at < len(p) {
		p = bytes.Clone(p)
		p[at] ^= 4
	}
	s.written += len(p)
	return s.Conn.Write(p)
}

// Not a byte comes out of a frame that was changed on its way, or sealed with another key.
func TestRejectsAlteredFrames(t *testing.T) {
	const greeting = len(handshakeMagic) + nonceSize
	text := []byte("an entry of the record")
	cases := map[string]struct {
		key string
		at  int
	}{"key": {"another key, as long", -1}, "length": {"", greeting + 1}, "text": {"", greeting + 5}, "tag": {"", greeting + 2 + len(text)}}
	for name, c := range cases {
		key := "0123456789abcdef"
		if c.key == "" {
			c.key = key
		}
		a, b := connectedPair(t, c.key, key, func(n net.Conn) net.Conn { return &bitFlipper{Conn: n, offset: c.at} })
		go func() { _, _ = a.Write(text); _ = a.Close() }()
		if got, err := io.ReadAll(b); err == nil || len(got) > 0 {
			t.Errorf("%s: %q came out, %v", name, got, err)
		}
		_, _ = a.Close(), b.Close()
	}
}

// sealedByHand returns a frame as the wire has it: two bytes of length, and the text sealed.
func expectedFrame(t *testing.T, key, salt []byte, direction string, number byte, text string) []byte {
	t.Helper()
	derived, err := hkdf.Key(sha256.New, key, salt, "coralrelay-record-1 "+direction, 32)
	if err != nil {
		t.Fatal(err)
	}
	block, err := aes.NewCipher(derived)
	if err != nil {
		t.Fatal(err)
	}
	aead, err := cipher.NewGCM(block)
	if err != nil {
		t.Fatal(err)
	}
	size := []byte{0, byte(len(text) + 16)}
	nonce := []byte{0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, number}
	return append(size, aead.Seal(nil, nonce, []byte(text), size)...)
}

// greetedByHand plays the other side of a greeting on a, and returns both nonces, the
// caller's first, and the conn that greet made.
func handshakeByHand(t *testing.T, a, b net.Conn, key []byte, calls bool) (salt []byte, c *sealedConn) {
	t.Helper()
	greeted := make(chan error, 1)
	go func() {
		var err error
		c, err = handshake(b, key, calls)
		greeted <- err
	}()
	own, other := []byte("sixteen bytes ok"), make([]byte, 16)
	if calls {
		head := make([]byte, 4)
		_, _ = io.ReadFull(a, head)
		_, _ = io.ReadFull(a, other)
		_, _ = a.Write(own)
		if string(head) != "CRF1" {
			t.Errorf("a greeting begins with %q", head)
		}
		salt = append(other, own...)
	} else {
		_, _ = a.Write(append([]byte("CRF1"), own...))
		_, _ = io.ReadFull(a, other)
		salt = append(own, other...)
	}
	if err := <-greeted; err != nil {
		t.Fatal(err)
	}
	return salt, c
}

// Greeting and frames are, byte for byte, what a peer of another release says and awaits.
func TestFramesMatchTheWireFormat(t *testing.T) {
	key := []byte("0123456789abcdef")
	for _, calls := range []bool{true, false} {
		a, b := net.Pipe()
		for _, c := range []net.Conn{a, b} {
			_ = c.SetDeadline(time.Now().Add(testTimeout))
		}
		salt, c := handshakeByHand(t, a, b, key, calls)
		out, in := "caller", "called"
		if !calls {
			out, in = in, out
		}
		done := make(chan error, 1)
		for number, text := range []string{"first", "the second"} {
			go func() { _, err := c.Write([]byte(text)); done <- err }()
			want := expectedFrame(t, key, salt, out, byte(number), text)
			got := make([]byte, len(want))
			if _, err := io.ReadFull(a, got); err != nil || <-done != nil || !bytes.Equal(got, want) {
				t.Errorf("calls %v, %q: written %x, %v; want %x", calls, text, got, err, want)
			}
			frame := expectedFrame(t, key, salt, in, byte(number), text)
			go func() { _, err := a.Write(frame); done <- err }()
			read := make([]byte, len(text))
			if _, err := io.ReadFull(c, read); err != nil || <-done != nil || string(read) != text {
				t.Errorf("calls %v, %q: read %q, %v", calls, text, read, err)
			}
		}
		_, _ = a.Close(), b.Close()
	}
}
