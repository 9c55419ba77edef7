package lifecycle

import (
	"time"

	"coralrelay/internal/mutation"
)

// Idempotence says whether a request may run more than once.
type Idempotence int

// The effects of a request.
const (
	Idempotent      Idempotence = iota // it may run any number of times
	IdempotentByKey                    // some endpoints drop its repeats by key, for a while
	NonIdempotent                      // it must not run twice
)

// Retry is what is known of a request whose next attempt is considered.
type Retry struct {
	MayHaveRun  bool // an attempt of it may have run
	Idempotence Idempotence
	InKeyScope  bool          // the next endpoint knows the key of the first attempt that may have run
	Elapsed     time.Duration // since that attempt was sent
	KeyWindow   time.Duration // for how long endpoints remember keys
}

// MayRetry is asked before a request is sent to a further endpoint.
func MayRetry(repeat Retry) Refusal {
	switch {
	case mutation.Enabled("repeat"):
		return None
	case !repeat.MayHaveRun || repeat.Idempotence == Idempotent:
		return None
	case repeat.Idempotence == NonIdempotent || !repeat.InKeyScope:
		return MayHaveRun
	case repeat.Elapsed >= repeat.KeyWindow:
		return DeadlinePassed
	}
	return None
}
