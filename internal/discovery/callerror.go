package discovery

import (
	"encoding/json"
	"errors"
	"net"
	"os"
	"syscall"

	"coralrelay/balance"
	"coralrelay/internal/listlease"
)

// callError is why a call has ended, by what that says of the service.
type callError struct {
	outcome listlease.Outcome
	err     error
}

func (e *callError) Error() string { return e.err.Error() }
func (e *callError) Unwrap() error { return e.err }

// outcomeOf is how the call has ended, by its error.
func (c *call) outcomeOf(err error) listlease.Outcome {
	outcome := listlease.Reset
	if failed := (*callError)(nil); errors.As(err, &failed) {
		outcome = failed.outcome
	}
	switch {
	case !c.watching || outcome == listlease.Spoilt:
		return outcome
	case errors.Is(err, os.ErrDeadlineExceeded):
		return listlease.WatchSilent
	}
	return listlease.WatchEnded
}

// failureOf is what the end of a call says of how busy the service is.
func failureOf(call listlease.Call) balance.ListFailure {
	switch {
	case call.WaitedInVain():
		return balance.CallWaited
	case call.Outcome == listlease.Unavailable:
		return balance.CallRejected
	}
	return balance.CallFailed
}

// newDialError is the error of a call whose connection did not come up. Any error of this machine, such as that it
// has no route, says nothing of the service.
func newDialError(err error) error {
	timeout := net.Error(nil)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return &callError{listlease.ConnectRefused, err}
	case errors.Is(err, syscall.ECONNRESET):
		return &callError{listlease.Reset, err}
	case errors.As(err, &timeout) && timeout.Timeout():
		return &callError{listlease.ConnectTimedOut, err}
	}
	return &callError{listlease.NotMade, err}
}

// newHeaderError is the error of a call of which no usable header has come.
func newHeaderError(err error) error {
	status := (*statusError)(nil)
	switch {
	case errors.As(err, &status):
		return &callError{listlease.Unavailable, err}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &callError{listlease.Unanswered, err}
	}
	return &callError{listlease.Reset, err}
}

// newMessageError is the error of a call whose header has come.
func newMessageError(err error) error {
	syntax, wrongType, spoilt := (*json.SyntaxError)(nil), (*json.UnmarshalTypeError)(nil), (*messageError)(nil)
	if errors.As(err, &syntax) || errors.As(err, &wrongType) || errors.As(err, &spoilt) || errors.Is(err, errMessageTooLarge) {
		return &callError{listlease.Spoilt, err}
	}
	return &callError{listlease.Incomplete, err}
}
