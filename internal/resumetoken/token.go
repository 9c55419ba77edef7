// Package resume decides about resume tokens: what one says, whether it may be
// believed, whether it is honoured, and who arbitrates. It does no I/O, reads no
// clock and draws no random numbers: time and nonces are arguments.
//
// A token names the one ledger that arbitrates it. That ledger alone, with its
// one clock, says whether it is spent, so nodes need agree on nothing.
package resumetoken

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

const (
	// Version is the layout of a token; others are not read.
	Version = 1
	// MaxText is the length of the longest token as text, in bytes. A first line
	// may have 4 KiB.
	MaxEncodedLength = 256
	// MaxName is the length of the longest issuer's or arbiter's name, in bytes.
	MaxNameLength = 40
	// MaxLife bounds a token's life, and with it what a ledger has to remember.
	MaxLifetime = 24 * time.Hour

	macSize         = 16
	fixedFieldsSize = 1 + 4 + 8 + 8 + 8 + 8 + 4 + 16 + 16
)

// What can be wrong with a token. Each is a reason for a snapshot, not an error
// to the client.
var (
	ErrMalformed          = errors.New("token is malformed")
	ErrUnsupportedVersion = errors.New("token has another version")
	ErrUnknownKey         = errors.New("token's key is unknown")
	ErrBadMAC             = errors.New("token's seal does not fit")
	ErrWrongClient        = errors.New("token is another client's")
	ErrExpired            = errors.New("token has expired")
	ErrNotYetValid        = errors.New("token is from the future")
)

// Position is a place in a stream: all up to Offset has been seen, in the
// numbering that Epoch names. Offsets of two epochs can't be compared.
type Position struct{ Epoch, Offset uint64 }

// String is the position as the line protocol has it, such as 5c0f:41: the epoch
// in hexadecimal digits, the offset in decimal ones.
func (p Position) String() string {
	return strconv.FormatUint(p.Epoch, 16) + ":" + strconv.FormatUint(p.Offset, 10)
}

// ParsePosition reads what String writes.
func ParsePosition(text string) (Position, error) {
	epoch, offset, ok := strings.Cut(text, ":")
	epochNumber, epochErr := strconv.ParseUint(epoch, 16, 64)
	offsetNumber, offsetErr := strconv.ParseUint(offset, 10, 64)
	if !ok || epochErr != nil || offsetErr != nil {
		return Position{}, fmt.Errorf("position %.40q: want EPOCH:OFFSET", text)
	}
	return Position{epochNumber, offsetNumber}, nil
}

// Nonce tells one token from all others.
type Nonce [16]byte

// LedgerID names the contents of one ledger: one that has lost what it knew comes
// back under another, so that it can't grant again what it granted before.
type GuardID [8]byte

// Binding ties a token to one client's flow key and group.
type Binding [16]byte

// Token is what a moved client carries.
type Token struct {
	KeyID     KeyID
	Issuer    string // the node that minted it
	Arbiter   string // the node whose ledger decides
	GuardID   GuardID
	Position  Position
	Binding   Binding
	IssuedAt  time.Time // whole milliseconds, the issuer's clock
	ExpiresAt time.Time // the same
	Nonce     Nonce
}

// Grant is what a token is minted from.
type Claims struct {
	Issuer, Arbiter string
	GuardID         GuardID
	Position        Position
	FlowKey, Group  string
	Lifetime        time.Duration // 1 ms to MaxLife
	Nonce           Nonce         // drawn at random, never twice
}

var encoding = base64.RawURLEncoding.Strict()

// Mint returns a sealed token as text.
func Mint(ring *KeyRing, now time.Time, claims Claims) (string, error) {
	key, ok := ring.SigningKey(now)
	switch {
	case !ok:
		return "", fmt.Errorf("mint: no key signs yet")
	case claims.Lifetime < time.Millisecond || claims.Lifetime > MaxLifetime:
		return "", fmt.Errorf("mint: life %v is not between 1ms and %v", claims.Lifetime, MaxLifetime)
	case len(claims.Issuer) > MaxNameLength || len(claims.Arbiter) > MaxNameLength || claims.Arbiter == "":
		return "", fmt.Errorf("mint: issuer %.50q or arbiter %.50q is not a name of up to %d bytes", claims.Issuer, claims.Arbiter, MaxNameLength)
	}
	encoded := make([]byte, 0, fixedFieldsSize+2+len(claims.Issuer)+len(claims.Arbiter)+macSize)
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
	encoded = append(append(encoded, byte(len(claims.Issuer))), claims.Issuer...)
	encoded = append(append(encoded, byte(len(claims.Arbiter))), claims.Arbiter...)
	encoded = append(encoded, key.tokenMAC(encoded)...)
	return encoding.EncodeToString(encoded), nil
}

// Open reads a token and checks its seal, in constant memory whatever the text.
// It says nothing of whose the token is or whether it has expired.
func Open(ring *KeyRing, text string) (Token, error) {
	// The decoder passes over line ends, which would make one token of many texts.
	if len(text) > MaxEncodedLength || strings.ContainsAny(text, "\r\n") {
		return Token{}, ErrMalformed
	}
	var buffer [MaxEncodedLength]byte
	n, err := encoding.Decode(buffer[:], []byte(text))
	decoded := buffer[:n]
	if err != nil || n == 0 {
		return Token{}, ErrMalformed
	}
	if decoded[0] != Version {
		return Token{}, ErrUnsupportedVersion
	}
	if n < fixedFieldsSize+2+macSize {
		return Token{}, ErrMalformed
	}
	sealed, mac := decoded[:n-macSize], decoded[n-macSize:]
	token := Token{KeyID: KeyID(binary.BigEndian.Uint32(decoded[1:]))}
	key, ok := ring.Get(token.KeyID)
	if !ok {
		return Token{}, ErrUnknownKey
	}
	if !hmac.Equal(key.tokenMAC(sealed), mac) {
		return Token{}, ErrBadMAC
	}
	// Sealed by one of ours: what follows is as Mint wrote it, but for lengths,
	// which are checked all the same.
	rest := sealed[5:]
	rest = rest[copy(token.GuardID[:], rest):]
	token.Position = Position{binary.BigEndian.Uint64(rest), binary.BigEndian.Uint64(rest[8:])}
	token.IssuedAt = time.UnixMilli(int64(binary.BigEndian.Uint64(rest[16:])))
	token.ExpiresAt = token.IssuedAt.Add(time.Duration(binary.BigEndian.Uint32(rest[24:])) * time.Millisecond)
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

func readName(b []byte) (string, []byte, bool) {
	if len(b) == 0 || len(b)-1 < int(b[0]) || b[0] > MaxNameLength {
		return "", nil, false
	}
	end := 1 + int(b[0])
	return string(b[1:end]), b[end:], true
}

// Belongs tells whether the token is that of a client with this flow key and group.
func (t *Token) VerifyClient(ring *KeyRing, flowKey, group string) error {
	key, ok := ring.Get(t.KeyID)
	if !ok {
		return ErrUnknownKey
	}
	if want := key.BindingFor(flowKey, group); !hmac.Equal(want[:], t.Binding[:]) {
		return ErrWrongClient
	}
	return nil
}

// Fresh tells whether the token is within its life, by a clock that may differ
// from the issuer's by skew. The arbiter's word on expiry is given with no skew;
// a redeemer's is only to spare the question.
func (t *Token) VerifyTime(now time.Time, skew, leeway time.Duration) error {
	switch {
	case !now.Before(t.ExpiresAt.Add(leeway)):
		return ErrExpired
	case t.IssuedAt.After(now.Add(skew)):
		return ErrNotYetValid
	}
	return nil
}

// seal is the authentication of a token's bytes: HMAC-SHA-256 cut to 128 bits
// (RFC 2104, section 5).
func (k *Key) tokenMAC(sealed []byte) []byte {
	mac := hmac.New(sha256.New, k.tokenSubkey)
	mac.Write(sealed)
	return mac.Sum(nil)[:macSize]
}
