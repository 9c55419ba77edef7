package resumetoken

import (
	"crypto/hmac"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// What is wrong with a token.
var (
	ErrMalformed          = errors.New("token is malformed")
	ErrUnsupportedVersion = errors.New("token has another version")
	ErrUnknownKey         = errors.New("token's key is unknown")
	ErrBadMAC             = errors.New("token's MAC does not match")
	ErrWrongClient        = errors.New("token is bound to another client")
	ErrExpired            = errors.New("token has expired")
	ErrNotYetValid        = errors.New("token is not yet valid")
)

// Position is a place in a stream: all up to Offset has been received, in the numbering that
// Epoch names. Offsets of two epochs can't be compared.
type Position struct{ Epoch, Offset uint64 }

// String returns the position as the line protocol has it, such as 5c0f:41: the epoch in
// hexadecimal digits, the offset in decimal ones.
func (p Position) String() string {
	return strconv.FormatUint(p.Epoch, 16) + ":" + strconv.FormatUint(p.Offset, 10)
}

// ParsePosition reads what Position.String writes.
func ParsePosition(text string) (Position, error) {
	epochText, offsetText, hasColon := strings.Cut(text, ":")
	epoch, epochErr := strconv.ParseUint(epochText, 16, 64)
	offset, offsetErr := strconv.ParseUint(offsetText, 10, 64)
	if !hasColon || epochErr != nil || offsetErr != nil {
		return Position{}, fmt.Errorf("position %.40q: want EPOCH:OFFSET", text)
	}
	return Position{Epoch: epoch, Offset: offset}, nil
}

// Nonce tells one token from all others.
type Nonce [16]byte

// GuardID names the records of one replay guard. A guard that has lost its records comes back
// under another id, so that it can't grant again what it granted before.
type GuardID [8]byte

// Binding ties a token to one client's flow key and group.
type Binding [16]byte

// Token is what a client that is migrated carries from one node to another.
type Token struct {
	KeyID     KeyID
	Issuer    string // the node that minted it
	Arbiter   string // the node whose guard decides
	GuardID   GuardID
	Position  Position
	Binding   Binding
	IssuedAt  time.Time // whole milliseconds, by the issuer's clock
	ExpiresAt time.Time // whole milliseconds, by the issuer's clock
	Nonce     Nonce
}

// VerifyClient checks that the token is bound to a client with this flow key and group. The
// error is ErrWrongClient, or ErrUnknownKey if the ring has lost the token's key.
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

// VerifyTime checks that the token is within its lifetime, by a clock that may be behind the
// issuer's by skew and ahead of it by leeway. The error is ErrExpired or ErrNotYetValid. The
// arbiter decides on expiry with no leeway; a node that redeems checks to spare the request.
func (t *Token) VerifyTime(now time.Time, skew, leeway time.Duration) error {
	switch {
	case !now.Before(t.ExpiresAt.Add(leeway)):
		return ErrExpired
	case t.IssuedAt.After(now.Add(skew)):
		return ErrNotYetValid
	}
	return nil
}
