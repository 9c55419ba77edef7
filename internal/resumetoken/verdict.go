package resumetoken

import "errors"

// Verdict is the decision on a token that a client presents.
type Verdict uint8

// The verdicts. A client resumes its stream only after Granted.
const (
	Granted            Verdict = iota + 1
	Spent                      // the token was granted to another redemption
	Expired                    // by the clock of the arbiter, or its record may have been removed
	NotYetValid                // the clock of the issuer is too far ahead
	WrongGuard                 // the token names another guard, or the guard has lost its records
	GuardFull                  // the guard has reached its maximum number of records
	GuardUnavailable           // the guard could not write the record: disk full, read-only or damaged
	Invalid                    // malformed, unsupported version, unknown key or wrong MAC
	WrongClient                // the token is bound to another client
	ArbiterUnreachable         // there was no verdict of the arbiter before the deadline
)

// verdictNames are the names of the verdicts in messages between nodes. They must never change.
var verdictNames = map[Verdict]string{
	Granted:            "granted",
	Spent:              "spent",
	Expired:            "expired",
	NotYetValid:        "future",
	WrongGuard:         "foreign",
	GuardFull:          "full",
	GuardUnavailable:   "broken",
	Invalid:            "forged",
	WrongClient:        "stranger",
	ArbiterUnreachable: "unreachable",
}

// String returns the name of the verdict, or "" if v is not a valid verdict.
func (v Verdict) String() string { return verdictNames[v] }

// ParseVerdict returns the verdict with the given name, and false if there is none.
func ParseVerdict(name string) (Verdict, bool) {
	for verdict, verdictName := range verdictNames {
		if verdictName == name {
			return verdict, true
		}
	}
	return 0, false
}

// verdictForError returns the verdict for an error of Open, VerifyClient or VerifyTime.
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
