package lifecycle

import (
	"time"

	"coralrelay/internal/mutation"
)

// Idempotence states whether a request may run more than once.
type Idempotence int

// The kinds of idempotence.
const (
	Idempotent      Idempotence = iota // the request may run any number of times
	IdempotentByKey                    // endpoints in its key scope drop repeats within the key window
	NonIdempotent                      // the request must not run twice
)

// Retry describes a possible further attempt of a request.
type Retry struct {
	MayHaveRun  bool // an earlier attempt may have run
	Idempotence Idempotence
	InKeyScope  bool          // the next endpoint drops repeats of the first attempt that may have run
	Elapsed     time.Duration // since that first attempt was sent
	KeyWindow   time.Duration // for which endpoints remember keys
}

// MayRetry checks whether a request may be sent to a further endpoint.
func MayRetry(retry Retry) Refusal {
	switch {
	case mutation.Enabled("repeat"):
		return None
	case !retry.MayHaveRun || retry.Idempotence == Idempotent:
		return None
	case retry.Idempotence == NonIdempotent || !retry.InKeyScope:
		return MayHaveRun
	case retry.Elapsed >= retry.KeyWindow:
		return DeadlinePassed
	}
	return None
}
