package resumetoken

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"slices"
	"time"
)

// Verdict is what becomes of a token.
type Verdict uint8

// The verdicts. Only Granted lets a client go on where it was.
const (
	Granted            Verdict = iota + 1
	Spent                      // another presentation had it
	Expired                    // by the arbiter's clock, or its spent record has been dropped
	NotYetValid                // minted by a clock too far ahead
	WrongGuard                 // another ledger's, or this one has lost what it knew
	GuardFull                  // the ledger remembers as many as it may
	GuardUnavailable           // the ledger could not keep it: disk full, read-only, damaged
	Invalid                    // malformed, unknown key, another version, or its seal does not fit
	WrongClient                // another client's
	ArbiterUnreachable         // the arbiter gave no answer in time
)

var verdictNames = map[Verdict]string{Granted: "granted", Spent: "spent", Expired: "expired", NotYetValid: "future",
	WrongGuard: "foreign", GuardFull: "full", GuardUnavailable: "broken", Invalid: "forged", WrongClient: "stranger", ArbiterUnreachable: "unreachable"}

func (v Verdict) String() string { return verdictNames[v] }

// ParseVerdict reads what String writes.
func ParseVerdict(s string) (Verdict, bool) {
	for v, name := range verdictNames {
		if name == s {
			return v, true
		}
	}
	return 0, false
}

// verdictOf says what an error of Open, Belongs or Fresh makes of a token.
func verdictForError(err error) Verdict {
	switch {
	case err == nil:
		return Granted
	case errors.Is(err, ErrExpired):
		return Expired
	case errors.Is(err, ErrNotYetValid):
		return NotYetValid
	case errors.Is(err, ErrWrongClient):
		return WrongClient
	}
	return Invalid
}

// Claimant names one presentation of a token: drawn at random by the node that
// redeems, so that a question asked twice has one answer, and nobody else's.
type RedemptionID [16]byte

// Window is a stretch of time in which tokens expire. A ledger forgets window by
// window.
type Window int64

// WindowLength is a window's length.
const WindowLength = 10 * time.Second

// WindowOf returns the window in which t lies.
func WindowOf(t time.Time) Window { return Window(t.UnixMilli() / WindowLength.Milliseconds()) }

// End is the moment at which the next window begins.
func (w Window) End() time.Time { return time.UnixMilli((int64(w) + 1) * WindowLength.Milliseconds()) }

// Arbiter is a ledger's rule. What it has granted is kept by the program around
// it, which has to make a grant durable before it tells of it.
type Arbiter struct {
	ID           GuardID
	MaxRecords   int           // records that may be kept
	ClockSkew    time.Duration // by which an issuer's clock may be ahead
	RecordCount  int           // records that are kept
	SweptThrough Window        // this window and those before are forgotten, durably
}

// Spends looks up who was granted a token.
type LookupFunc func(w Window, n Nonce) (RedemptionID, bool)

// Judge decides on one presentation. On Granted with fresh set the program keeps
// the record and calls Keep; a question repeated by the claimant that had it
// already is granted once more and changes nothing.
func (a *Arbiter) Decide(now time.Time, token *Token, id RedemptionID, lookup LookupFunc) (verdict Verdict, isNew bool) {
	window := WindowOf(token.ExpiresAt)
	switch {
	case token.GuardID != a.ID:
		return WrongGuard, false
	case window <= a.SweptThrough:
		// Its record may be gone: a clock that was set back must not bring a
		// spent token to life.
		return Expired, false
	}
	if grantedTo, ok := lookup(window, token.Nonce); ok {
		if grantedTo == id {
			return Granted, false
		}
		return Spent, false
	}
	if err := token.VerifyTime(now, a.ClockSkew, 0); err != nil {
		return verdictForError(err), false
	}
	if a.RecordCount >= a.MaxRecords {
		return GuardFull, false
	}
	return Granted, true
}

// Sweepable returns the last window that may be forgotten: all its tokens have
// expired. It is false if there is none beyond those forgotten already.
func (a *Arbiter) SweepableThrough(now time.Time) (Window, bool) {
	window := WindowOf(now) - 1
	return window, window > a.SweptThrough
}

// Member is a node whose ledger may arbitrate.
type Candidate struct {
	Name      string
	GuardID   GuardID
	IsReady   bool // it has answered lately, and has room
	IsDurable bool // what it grants survives its restart
}

// Choose names the arbiter of a new token. It is the issuer itself, which spares
// a question where the client returns there; an issuer about to restart names a
// ready peer, spread by the nonce. With no peer it stays the issuer, if its ledger
// survives. It is false if nobody could arbitrate: then no token is minted.
func ChooseArbiter(self Candidate, draining bool, peers []Candidate, nonce Nonce) (Candidate, bool) {
	if !draining && self.IsReady {
		return self, true
	}
	ready := slices.DeleteFunc(slices.Clone(peers), func(m Candidate) bool { return !m.IsReady })
	if len(ready) > 0 {
		// Rendezvous hashing (Thaler and Ravishankar, 1998): a peer that comes or
		// goes moves only its own share.
		return slices.MaxFunc(ready, func(a, b Candidate) int { return cmp.Compare(rendezvousWeight(a, nonce), rendezvousWeight(b, nonce)) }), true
	}
	return self, self.IsReady && self.IsDurable
}

func rendezvousWeight(candidate Candidate, nonce Nonce) uint64 {
	sum := sha256.Sum256(append(nonce[:], candidate.Name...))
	return binary.BigEndian.Uint64(sum[:])
}
