package resumetoken

import "errors"

// Verdict is the decision on a token that a client presents.
type Verdict uint8

// The verdicts. Only with Granted does a client resume where it was.
const (
	Granted            Verdict = iota + 1
	Spent                      // another redemption was granted it
	Expired                    // by the arbiter's clock, or its record has been dropped
	NotYetValid                // issued by a clock too far ahead
	WrongGuard                 // it names another guard, or this one has lost its records
	GuardFull                  // the guard remembers as many tokens as it may
	GuardUnavailable           // the guard could not record it: disk full, read-only or damaged
	Invalid                    // malformed, of another version, unknown key, or a wrong MAC
	WrongClient                // it is bound to another client
	ArbiterUnreachable         // the arbiter gave no verdict in time
)

// verdictNames are the verdicts' names between nodes, which never change.
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

// String returns the verdict's name; "" if there is no such verdict.
func (v Verdict) String() string { return verdictNames[v] }

// ParseVerdict reads what String writes. It is false if there is no verdict of that name.
func ParseVerdict(name string) (Verdict, bool) {
	for verdict, verdictName := range verdictNames {
		if verdictName == name {
			return verdict, true
		}
	}
	return 0, false
}

// verdictForError is the verdict that follows from an error of Open, VerifyClient or
// VerifyTime.
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
