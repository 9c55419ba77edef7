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
	Granted     Verdict = iota + 1
	Spent               // another presentation had it
	Expired             // by the arbiter's clock, or its spent record has been dropped
	Future              // minted by a clock too far ahead
	Foreign             // another ledger's, or this one has lost what it knew
	Full                // the ledger remembers as many as it may
	Broken              // the ledger could not keep it: disk full, read-only, damaged
	Forged              // malformed, unknown key, another version, or its seal does not fit
	Stranger            // another client's
	Unreachable         // the arbiter gave no answer in time
)

var verdicts = map[Verdict]string{Granted: "granted", Spent: "spent", Expired: "expired", Future: "future",
	Foreign: "foreign", Full: "full", Broken: "broken", Forged: "forged", Stranger: "stranger", Unreachable: "unreachable"}

func (v Verdict) String() string { return verdicts[v] }

// ParseVerdict reads what String writes.
func ParseVerdict(s string) (Verdict, bool) {
	for v, name := range verdicts {
		if name == s {
			return v, true
		}
	}
	return 0, false
}

// verdictOf says what an error of Open, Belongs or Fresh makes of a token.
func verdictOf(err error) Verdict {
	switch {
	case err == nil:
		return Granted
	case errors.Is(err, ErrExpired):
		return Expired
	case errors.Is(err, ErrFuture):
		return Future
	case errors.Is(err, ErrStranger):
		return Stranger
	}
	return Forged
}

// Claimant names one presentation of a token: drawn at random by the node that
// redeems, so that a question asked twice has one answer, and nobody else's.
type Claimant [16]byte

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
	ID    LedgerID
	Limit int           // records that may be kept
	Skew  time.Duration // by which an issuer's clock may be ahead
	Kept  int           // records that are kept
	Swept Window        // this window and those before are forgotten, durably
}

// Spends looks up who was granted a token.
type Spends func(w Window, n Nonce) (Claimant, bool)

// Judge decides on one presentation. On Granted with fresh set the program keeps
// the record and calls Keep; a question repeated by the claimant that had it
// already is granted once more and changes nothing.
func (a *Arbiter) Judge(now time.Time, t *Token, c Claimant, spends Spends) (v Verdict, fresh bool) {
	w := WindowOf(t.Expires)
	switch {
	case t.Ledger != a.ID:
		return Foreign, false
	case w <= a.Swept:
		// Its record may be gone: a clock that was set back must not bring a
		// spent token to life.
		return Expired, false
	}
	if had, ok := spends(w, t.Nonce); ok {
		if had == c {
			return Granted, false
		}
		return Spent, false
	}
	if err := t.Fresh(now, a.Skew, 0); err != nil {
		return verdictOf(err), false
	}
	if a.Kept >= a.Limit {
		return Full, false
	}
	return Granted, true
}

// Sweepable returns the last window that may be forgotten: all its tokens have
// expired. It is false if there is none beyond those forgotten already.
func (a *Arbiter) Sweepable(now time.Time) (Window, bool) {
	w := WindowOf(now) - 1
	return w, w > a.Swept
}

// Member is a node whose ledger may arbitrate.
type Member struct {
	Name   string
	Ledger LedgerID
	Ready  bool // it has answered lately, and has room
	Stays  bool // what it grants survives its restart
}

// Choose names the arbiter of a new token. It is the issuer itself, which spares
// a question where the client returns there; an issuer about to restart names a
// ready peer, spread by the nonce. With no peer it stays the issuer, if its ledger
// survives. It is false if nobody could arbitrate: then no token is minted.
func Choose(self Member, leaving bool, peers []Member, n Nonce) (Member, bool) {
	if !leaving && self.Ready {
		return self, true
	}
	ready := slices.DeleteFunc(slices.Clone(peers), func(m Member) bool { return !m.Ready })
	if len(ready) > 0 {
		// Rendezvous hashing (Thaler and Ravishankar, 1998): a peer that comes or
		// goes moves only its own share.
		return slices.MaxFunc(ready, func(a, b Member) int { return cmp.Compare(weigh(a, n), weigh(b, n)) }), true
	}
	return self, self.Ready && self.Stays
}

func weigh(m Member, n Nonce) uint64 {
	sum := sha256.Sum256(append(n[:], m.Name...))
	return binary.BigEndian.Uint64(sum[:])
}
