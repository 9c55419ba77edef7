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

	macSize   = 16
	fixedSize = 1 + 4 + 8 + 8 + 8 + 8 + 4 + 16 + 16
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
	e, err := strconv.ParseUint(epoch, 16, 64)
	o, err2 := strconv.ParseUint(offset, 10, 64)
	if !ok || err != nil || err2 != nil {
		return Position{}, fmt.Errorf("position %.40q: want EPOCH:OFFSET", text)
	}
	return Position{e, o}, nil
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
func Mint(r *KeyRing, now time.Time, g Claims) (string, error) {
	k, ok := r.SigningKey(now)
	switch {
	case !ok:
		return "", fmt.Errorf("mint: no key signs yet")
	case g.Lifetime < time.Millisecond || g.Lifetime > MaxLifetime:
		return "", fmt.Errorf("mint: life %v is not between 1ms and %v", g.Lifetime, MaxLifetime)
	case len(g.Issuer) > MaxNameLength || len(g.Arbiter) > MaxNameLength || g.Arbiter == "":
		return "", fmt.Errorf("mint: issuer %.50q or arbiter %.50q is not a name of up to %d bytes", g.Issuer, g.Arbiter, MaxNameLength)
	}
	b := make([]byte, 0, fixedSize+2+len(g.Issuer)+len(g.Arbiter)+macSize)
	b = append(b, Version)
	b = binary.BigEndian.AppendUint32(b, uint32(k.ID))
	b = append(b, g.GuardID[:]...)
	b = binary.BigEndian.AppendUint64(b, g.Position.Epoch)
	b = binary.BigEndian.AppendUint64(b, g.Position.Offset)
	b = binary.BigEndian.AppendUint64(b, uint64(now.UnixMilli()))
	b = binary.BigEndian.AppendUint32(b, uint32(g.Lifetime.Milliseconds()))
	bind := k.BindingFor(g.FlowKey, g.Group)
	b = append(b, bind[:]...)
	b = append(b, g.Nonce[:]...)
	b = append(append(b, byte(len(g.Issuer))), g.Issuer...)
	b = append(append(b, byte(len(g.Arbiter))), g.Arbiter...)
	b = append(b, k.seal(b)...)
	return encoding.EncodeToString(b), nil
}

// Open reads a token and checks its seal, in constant memory whatever the text.
// It says nothing of whose the token is or whether it has expired.
func Open(r *KeyRing, text string) (Token, error) {
	// The decoder passes over line ends, which would make one token of many texts.
	if len(text) > MaxEncodedLength || strings.ContainsAny(text, "\r\n") {
		return Token{}, ErrMalformed
	}
	var room [MaxEncodedLength]byte
	n, err := encoding.Decode(room[:], []byte(text))
	b := room[:n]
	if err != nil || n == 0 {
		return Token{}, ErrMalformed
	}
	if b[0] != Version {
		return Token{}, ErrUnsupportedVersion
	}
	if n < fixedSize+2+macSize {
		return Token{}, ErrMalformed
	}
	sealed, mac := b[:n-macSize], b[n-macSize:]
	t := Token{KeyID: KeyID(binary.BigEndian.Uint32(b[1:]))}
	k, ok := r.Get(t.KeyID)
	if !ok {
		return Token{}, ErrUnknownKey
	}
	if !hmac.Equal(k.seal(sealed), mac) {
		return Token{}, ErrBadMAC
	}
	// Sealed by one of ours: what follows is as Mint wrote it, but for lengths,
	// which are checked all the same.
	rest := sealed[5:]
	rest = rest[copy(t.GuardID[:], rest):]
	t.Position = Position{binary.BigEndian.Uint64(rest), binary.BigEndian.Uint64(rest[8:])}
	t.IssuedAt = time.UnixMilli(int64(binary.BigEndian.Uint64(rest[16:])))
	t.ExpiresAt = t.IssuedAt.Add(time.Duration(binary.BigEndian.Uint32(rest[24:])) * time.Millisecond)
	rest = rest[28:]
	rest = rest[copy(t.Binding[:], rest):]
	rest = rest[copy(t.Nonce[:], rest):]
	if t.Issuer, rest, ok = name(rest); !ok {
		return Token{}, ErrMalformed
	}
	if t.Arbiter, rest, ok = name(rest); !ok || len(rest) > 0 {
		return Token{}, ErrMalformed
	}
	return t, nil
}

func name(b []byte) (string, []byte, bool) {
	if len(b) == 0 || len(b)-1 < int(b[0]) || b[0] > MaxNameLength {
		return "", nil, false
	}
	n := 1 + int(b[0])
	return string(b[1:n]), b[n:], true
}

// Belongs tells whether the token is that of a client with this flow key and group.
func (t *Token) VerifyClient(r *KeyRing, flowKey, group string) error {
	k, ok := r.Get(t.KeyID)
	if !ok {
		return ErrUnknownKey
	}
	if want := k.BindingFor(flowKey, group); !hmac.Equal(want[:], t.Binding[:]) {
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
func (k *Key) seal(b []byte) []byte {
	m := hmac.New(sha256.New, k.token)
	m.Write(b)
	return m.Sum(nil)[:macSize]
}
