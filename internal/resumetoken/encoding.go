package resumetoken

import (
	"crypto/hmac"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"strings"
	"time"
)

const (
	// Version is the layout of a token; others are not read.
	Version = 1
	// MaxEncodedLength is the length of the longest encoded token, in bytes. A client's
	// first line may have 4 KiB.
	MaxEncodedLength = 256
	// MaxNameLength is the length of the longest issuer's or arbiter's name, in bytes.
	MaxNameLength = 40
	// MaxLifetime bounds a token's lifetime, and with it what a guard has to remember.
	MaxLifetime = 24 * time.Hour

	macSize = 16 // bytes
	// fixedFieldsSize is the size of the fields before the names, in bytes: version, key id,
	// guard id, epoch, offset, issue time, lifetime, binding and nonce.
	fixedFieldsSize = 1 + 4 + 8 + 8 + 8 + 8 + 4 + 16 + 16
	// minSize is the size of a token with empty names, in bytes.
	minSize = fixedFieldsSize + 2 + macSize
)

// Claims are what a token is minted from.
type Claims struct {
	Issuer, Arbiter string
	GuardID         GuardID
	Position        Position
	FlowKey, Group  string
	Lifetime        time.Duration // 1 ms to MaxLifetime
	Nonce           Nonce         // drawn at random, never twice
}

// validate checks what Mint's caller may get wrong.
func (c *Claims) validate() error {
	if c.Lifetime < time.Millisecond || c.Lifetime > MaxLifetime {
		return fmt.Errorf("mint: life %v is not between 1ms and %v", c.Lifetime, MaxLifetime)
	}
	if len(c.Issuer) > MaxNameLength || len(c.Arbiter) > MaxNameLength || c.Arbiter == "" {
		return fmt.Errorf("mint: issuer %.50q or arbiter %.50q is not a name of up to %d bytes",
			c.Issuer, c.Arbiter, MaxNameLength)
	}
	return nil
}

var textEncoding = base64.RawURLEncoding.Strict()

// Mint returns an encoded token that is issued now and authenticated by the ring's signing
// key. It is an error if no key signs yet or a claim is out of bounds.
func Mint(ring *KeyRing, now time.Time, claims Claims) (string, error) {
	key, ok := ring.SigningKey(now)
	if !ok {
		return "", errors.New("mint: no key signs yet")
	}
	if err := claims.validate(); err != nil {
		return "", err
	}
	encoded := make([]byte, 0, minSize+len(claims.Issuer)+len(claims.Arbiter))
	encoded = append(encoded, Version)
	encoded = binary.BigEndian.AppendUint32(encoded, uint32(key.ID))
	encoded = append(encoded, claims.GuardID[:]...)
	encoded = binary.BigEndian.AppendUint64(encoded, claims.Position.Epoch)
	encoded = binary.BigEndian.AppendUint64(encoded, claims.Position.Offset)
	encoded = binary.BigEndian.AppendUint64(encoded, uint64(now.UnixMilli()))
	encoded = binary.BigEndian.AppendUint32(encoded, uint32(claims.Lifetime.Milliseconds()))
	binding := key.BindingFor(claims.FlowKey, claims.Group)
	encoded = append(encoded, binding[:]...)
	encoded = append(encoded, claims.Nonce[:]...)
	encoded = appendName(encoded, claims.Issuer)
	encoded = appendName(encoded, claims.Arbiter)
	encoded = append(encoded, key.tokenMAC(encoded)...)
	return textEncoding.EncodeToString(encoded), nil
}

// Open decodes a token and checks its MAC, in constant memory whatever the text. It does not
// check whose the token is or whether it has expired. The error is ErrMalformed,
// ErrUnsupportedVersion, ErrUnknownKey or ErrBadMAC.
func Open(ring *KeyRing, text string) (Token, error) {
	// The decoder passes over line ends, which would make one token of many texts.
	if len(text) > MaxEncodedLength || strings.ContainsAny(text, "\r\n") {
		return Token{}, ErrMalformed
	}
	var buffer [MaxEncodedLength]byte
	size, err := textEncoding.Decode(buffer[:], []byte(text))
	if err != nil || size == 0 {
		return Token{}, ErrMalformed
	}
	decoded := buffer[:size]
	if decoded[0] != Version {
		return Token{}, ErrUnsupportedVersion
	}
	if size < minSize {
		return Token{}, ErrMalformed
	}
	sealed, mac := decoded[:size-macSize], decoded[size-macSize:]
	key, ok := ring.Get(KeyID(binary.BigEndian.Uint32(sealed[1:])))
	if !ok {
		return Token{}, ErrUnknownKey
	}
	if !hmac.Equal(key.tokenMAC(sealed), mac) {
		return Token{}, ErrBadMAC
	}
	return decodeFields(key.ID, sealed)
}

// decodeFields reads the fields of a token whose MAC matches. They are as Mint wrote them;
// the names' lengths are checked all the same.
func decodeFields(id KeyID, sealed []byte) (Token, error) {
	token, rest, ok := Token{KeyID: id}, sealed[5:], false
	rest = rest[copy(token.GuardID[:], rest):]
	token.Position.Epoch = binary.BigEndian.Uint64(rest)
	token.Position.Offset = binary.BigEndian.Uint64(rest[8:])
	token.IssuedAt = time.UnixMilli(int64(binary.BigEndian.Uint64(rest[16:])))
	lifetime := time.Duration(binary.BigEndian.Uint32(rest[24:])) * time.Millisecond
	token.ExpiresAt = token.IssuedAt.Add(lifetime)
	rest = rest[28:]
	rest = rest[copy(token.Binding[:], rest):]
	rest = rest[copy(token.Nonce[:], rest):]
	if token.Issuer, rest, ok = readName(rest); !ok {
		return Token{}, ErrMalformed
	}
	if token.Arbiter, rest, ok = readName(rest); !ok || len(rest) > 0 {
		return Token{}, ErrMalformed
	}
	return token, nil
}

// appendName appends a name, its length in one byte before it.
func appendName(encoded []byte, name string) []byte {
	return append(append(encoded, byte(len(name))), name...)
}

// readName reads what appendName wrote, and returns what follows it. It is false if the name
// is cut short or too long.
func readName(encoded []byte) (name string, rest []byte, ok bool) {
	if len(encoded) == 0 || len(encoded)-1 < int(encoded[0]) || encoded[0] > MaxNameLength {
		return "", nil, false
	}
	end := 1 + int(encoded[0])
	return string(encoded[1:end]), encoded[end:], true
}
