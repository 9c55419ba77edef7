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
	// Version is the version of the token encoding. Tokens of other versions are rejected.
	Version = 1
	// MaxEncodedLength is the maximum length of an encoded token, in bytes. The client's first
	// line, which contains the token, may have up to 4 KiB.
	MaxEncodedLength = 256
	// MaxNameLength is the maximum length of the name of an issuer or arbiter, in bytes.
	MaxNameLength = 40
	// MaxLifetime is the maximum lifetime of a token. It limits how many records of spent
	// tokens a guard has to keep.
	MaxLifetime = 24 * time.Hour

	macSize = 16 // bytes
	// fixedFieldsSize is the total size of the fields before the names, in bytes: version, key
	// id, guard id, epoch, offset, issue time, lifetime, binding and nonce.
	fixedFieldsSize = 1 + 4 + 8 + 8 + 8 + 8 + 4 + 16 + 16
	// minTokenSize is the size of a token with empty names, in bytes.
	minTokenSize = fixedFieldsSize + 2 + macSize
)

// Claims are the values that a token is minted from.
type Claims struct {
	Issuer, Arbiter string
	GuardID         GuardID
	Position        Position
	FlowKey, Group  string
	Lifetime        time.Duration // 1 ms to MaxLifetime
	Nonce           Nonce         // generated at random for each token
}

// validate checks the values that the caller of Mint can get wrong.
func (c *Claims) validate() error {
	if c.Lifetime < time.Millisecond || c.Lifetime > MaxLifetime {
		return fmt.Errorf("mint: token lifetime %v is not between 1ms and %v", c.Lifetime, MaxLifetime)
	}
	if len(c.Issuer) > MaxNameLength || len(c.Arbiter) > MaxNameLength || c.Arbiter == "" {
		return fmt.Errorf("mint: issuer %.50q, arbiter %.50q: want up to %d bytes, arbiter not empty",
			c.Issuer, c.Arbiter, MaxNameLength)
	}
	return nil
}

var textEncoding = base64.RawURLEncoding.Strict()

// Mint returns an encoded token with the issue time now, authenticated by the signing key of the
// ring. It is an error if no key signs yet or if a claim is out of bounds.
func Mint(ring *KeyRing, now time.Time, claims Claims) (string, error) {
	key, ok := ring.SigningKey(now)
	if !ok {
		return "", errors.New("mint: the key ring has no signing key yet")
	}
	if err := claims.validate(); err != nil {
		return "", err
	}
	encoded := make([]byte, 0, minTokenSize+len(claims.Issuer)+len(claims.Arbiter))
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

// Open decodes a token and checks its MAC. It uses constant memory for any input. It checks
// neither the client that the token is bound to nor its expiry. The error is ErrMalformed,
// ErrUnsupportedVersion, ErrUnknownKey or ErrBadMAC.
func Open(ring *KeyRing, text string) (Token, error) {
	// The base64 decoder ignores line breaks, so several texts would decode to one token.
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
	if size < minTokenSize {
		return Token{}, ErrMalformed
	}
	payload, mac := decoded[:size-macSize], decoded[size-macSize:]
	key, ok := ring.Get(KeyID(binary.BigEndian.Uint32(payload[1:])))
	if !ok {
		return Token{}, ErrUnknownKey
	}
	if !hmac.Equal(key.tokenMAC(payload), mac) {
		return Token{}, ErrBadMAC
	}
	return decodeFields(key.ID, payload)
}

// decodeFields decodes the fields of a token whose MAC matches. The fields are those that Mint
// wrote, but the lengths of the names are checked nevertheless.
func decodeFields(id KeyID, payload []byte) (Token, error) {
	token, rest, ok := Token{KeyID: id}, payload[5:], false
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

// appendName appends the length of a name, in one byte, and the name.
func appendName(encoded []byte, name string) []byte {
	return append(append(encoded, byte(len(name))), name...)
}

// readName reads a name that appendName wrote, and returns it and the bytes that follow. It
// returns false if the name is truncated or too long.
func readName(encoded []byte) (name string, rest []byte, ok bool) {
	if len(encoded) == 0 || len(encoded)-1 < int(encoded[0]) || encoded[0] > MaxNameLength {
		return "", nil, false
	}
	end := 1 + int(encoded[0])
	return string(encoded[1:end]), encoded[end:], true
}
