package resumetoken

import (
	"crypto/hmac"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// The reasons why a token is rejected.
var (
	ErrMalformed          = errors.New("token is malformed")
	ErrUnsupportedVersion = errors.New("token version is not supported")
	ErrUnknownKey         = errors.New("token key is unknown")
	ErrBadMAC             = errors.New("token MAC does not match")
	ErrWrongClient        = errors.New("token is bound to another client")
	ErrExpired            = errors.New("token has expired")
	ErrNotYetValid        = errors.New("token is not yet valid")
)

// Position is a position in a stream: everything up to Offset has been received. Epoch identifies
// the numbering of the offsets; offsets of different epochs can't be compared.
type Position struct{ Epoch, Offset uint64 }

// String returns the position in the format of the line protocol, such as 5c0f:41: the epoch in
// hexadecimal digits, a colon, and the offset in decimal digits.
func (p Position) String() string {
	return strconv.FormatUint(p.Epoch, 16) + ":" + strconv.FormatUint(p.Offset, 10)
}

// ParsePosition parses the format of Position.String.
func ParsePosition(text string) (Position, error) {
	epochText, offsetText, hasColon := strings.Cut(text, ":")
	epoch, epochErr := strconv.ParseUint(epochText, 16, 64)
	offset, offsetErr := strconv.ParseUint(offsetText, 10, 64)
	if !hasColon || epochErr != nil || offsetErr != nil {
		return Position{}, fmt.Errorf("position %.40q: want EPOCH:OFFSET", text)
	}
	return Position{Epoch: epoch, Offset: offset}, nil
}

// Nonce is a random value that identifies a token.
type Nonce [16]byte

// GuardID identifies a replay guard and its records. A guard that has lost its records gets a new
// id, so that it can't grant again the tokens that it has already granted.
type GuardID [8]byte

// Binding is a MAC that binds a token to the flow key and group of one client.
type Binding [16]byte

// Token is a decoded resume token, which a migrated client carries from one node to another.
type Token struct {
	KeyID     KeyID
	Issuer    string // the node that minted it
	Arbiter   string // the node whose guard decides
	GuardID   GuardID
	Position  Position
	Binding   Binding
	IssuedAt  time.Time // by the clock of the issuer, in whole milliseconds
	ExpiresAt time.Time // by the clock of the issuer, in whole milliseconds
	Nonce     Nonce
}

// VerifyClient checks that the token is bound to the client with this flow key and group. The
// error is ErrWrongClient, or ErrUnknownKey if the ring does not contain the token's key.
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

// VerifyTime checks that now is within the token's lifetime, where the clock of the caller may be
// behind that of the issuer by skew and ahead of it by leeway. The error is ErrExpired or
// ErrNotYetValid. The arbiter decides on expiry without leeway; a redeeming node checks with
// leeway, to save the request to the arbiter if the token has certainly expired.
func (t *Token) VerifyTime(now time.Time, skew, leeway time.Duration) error {
	switch {
	case !now.Before(t.ExpiresAt.Add(leeway)):
		return ErrExpired
	case t.IssuedAt.After(now.Add(skew)):
		return ErrNotYetValid
	}
	return nil
}
