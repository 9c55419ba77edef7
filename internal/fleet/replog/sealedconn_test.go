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

// testKey is the fleet key of tests.
const testKey = "0123456789abcdef"

// connectedPair returns both ends of a connection after a handshake with the given keys. wrap
// wraps the connection of the dialing end.
func connectedPair(
	t interface{ Fatal(...any) }, dialedKey, acceptedKey string, wrap func(net.Conn) net.Conn,
) (dialed, accepted *sealedConn) {
	a, b := net.Pipe()
	for _, c := range []net.Conn{a, b} {
		_ = c.SetDeadline(time.Now().Add(testTimeout))
	}
	done := make(chan error, 1)
	go func() {
		var err error
		accepted, err = handshake(b, []byte(acceptedKey), false)
		done <- err
	}()
	dialed, err := handshake(wrap(a), []byte(dialedKey), true)
	if err != nil {
		t.Fatal(err)
	}
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	return dialed, accepted
}

func unwrapped(c net.Conn) net.Conn { return c }

// Data must arrive unchanged for any sizes of the writes, including writes of several frames.
func TestFramesArriveUnchangedInAnySplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := connectedPair(t, testKey, testKey, unwrapped)
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
			t.Fatalf("read %d bytes, want %d; or their contents differ", len(got), len(want))
		}
	})
}

// bitFlipper flips one bit of the written data, at offset. A negative offset flips none.
type bitFlipper struct {
	net.Conn
	offset, written int
}

func (c *bitFlipper) Write(p []byte) (int, error) {
	if at := c.offset - c.written; at >= 0 && at < len(p) {
		p = bytes.Clone(p)
		p[at] ^= 4
	}
	c.written += len(p)
	return c.Conn.Write(p)
}

// No data may be read from a frame that was altered in transit or sealed with another key.
func TestRejectsAlteredFrames(t *testing.T) {
	const handshakeSize = len(handshakeMagic) + nonceSize
	text := []byte("an entry of the log")
	cases := map[string]struct {
		dialedKey     string
		flippedOffset int
	}{
		"key":    {"another key, as long", -1},
		"length": {testKey, handshakeSize + 1},
		"text":   {testKey, handshakeSize + 5},
		"tag":    {testKey, handshakeSize + 2 + len(text)},
	}
	for name, c := range cases {
		a, b := connectedPair(t, c.dialedKey, testKey, func(n net.Conn) net.Conn {
			return &bitFlipper{Conn: n, offset: c.flippedOffset}
		})
		go func() {
			_, _ = a.Write(text)
			_ = a.Close()
		}()
		if got, err := io.ReadAll(b); err == nil || len(got) > 0 {
			t.Errorf("%s: read %q, %v", name, got, err)
		}
		_, _ = a.Close(), b.Close()
	}
}

// expectedFrame returns a frame in the wire format: two bytes of length, and the sealed text.
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

// handshakeAsPeer performs the peer's side of a handshake on a, without the code under test. It
// returns the salt, which is the dialing side's nonce and then the accepting side's, and the
// connection that handshake returned.
func handshakeAsPeer(t *testing.T, a, b net.Conn, key []byte, isDialer bool) (salt []byte, c *sealedConn) {
	t.Helper()
	completed := make(chan error, 1)
	go func() {
		var err error
		c, err = handshake(b, key, isDialer)
		completed <- err
	}()
	own, other := []byte("sixteen bytes ok"), make([]byte, 16)
	if isDialer {
		magic := make([]byte, 4)
		_, _ = io.ReadFull(a, magic)
		_, _ = io.ReadFull(a, other)
		_, _ = a.Write(own)
		if string(magic) != "CRF1" {
			t.Errorf("handshake begins with %q", magic)
		}
		salt = append(other, own...)
	} else {
		_, _ = a.Write(append([]byte("CRF1"), own...))
		_, _ = io.ReadFull(a, other)
		salt = append(own, other...)
	}
	if err := <-completed; err != nil {
		t.Fatal(err)
	}
	return salt, c
}

// Guards compatibility with other releases: handshake and frames must match the wire format
// byte for byte, in both directions.
func TestFramesMatchTheWireFormat(t *testing.T) {
	key := []byte(testKey)
	for _, isDialer := range []bool{true, false} {
		a, b := net.Pipe()
		for _, c := range []net.Conn{a, b} {
			_ = c.SetDeadline(time.Now().Add(testTimeout))
		}
		salt, c := handshakeAsPeer(t, a, b, key, isDialer)
		out, in := "caller", "called"
		if !isDialer {
			out, in = in, out
		}
		done := make(chan error, 1)
		for number, text := range []string{"first", "the second"} {
			go func() {
				_, err := c.Write([]byte(text))
				done <- err
			}()
			want := expectedFrame(t, key, salt, out, byte(number), text)
			got := make([]byte, len(want))
			if _, err := io.ReadFull(a, got); err != nil || <-done != nil || !bytes.Equal(got, want) {
				t.Errorf("dialer %v, %q: written %x, %v; want %x", isDialer, text, got, err, want)
			}
			frame := expectedFrame(t, key, salt, in, byte(number), text)
			go func() {
				_, err := a.Write(frame)
				done <- err
			}()
			read := make([]byte, len(text))
			if _, err := io.ReadFull(c, read); err != nil || <-done != nil || string(read) != text {
				t.Errorf("dialer %v, %q: read %q, %v", isDialer, text, read, err)
			}
		}
		_, _ = a.Close(), b.Close()
	}
}
