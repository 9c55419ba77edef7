package discovery

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/textproto"
	"os"
	"syscall"

	"coralrelay/balance"
	"coralrelay/internal/inputlimit"
	"coralrelay/internal/listlease"
)

// callError is the error that has ended a call, with what it tells about the discovery service.
type callError struct {
	outcome listlease.Outcome
	err     error
}

func (e *callError) Error() string { return e.err.Error() }
func (e *callError) Unwrap() error { return e.err }

// outcomeOf returns the outcome of a call that ended with err.
func (c *call) outcomeOf(err error) listlease.Outcome {
	outcome := listlease.Reset
	if callErr := (*callError)(nil); errors.As(err, &callErr) {
		outcome = callErr.outcome
	}
	switch {
	case !c.watching || outcome == listlease.Unusable:
		return outcome
	case errors.Is(err, os.ErrDeadlineExceeded):
		return listlease.WatchSilent
	}
	return listlease.WatchEnded
}

// failureOf returns what the end of a call tells about the load of the discovery service.
func failureOf(call listlease.Call) balance.ListFailure {
	switch {
	case call.TimedOutInQueue():
		return balance.CallQueueTimeout
	case call.Outcome == listlease.Unavailable:
		return balance.CallRejected
	}
	return balance.CallFailed
}

// newDialError returns the error of a call whose connection was not established. Local errors, such
// as a missing route, tell nothing about the service.
func newDialError(err error) error {
	netErr := net.Error(nil)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return &callError{listlease.ConnectRefused, err}
	case errors.Is(err, syscall.ECONNRESET):
		return &callError{listlease.Reset, err}
	case errors.As(err, &netErr) && netErr.Timeout():
		return &callError{listlease.ConnectTimedOut, err}
	}
	return &callError{listlease.NotMade, err}
}

// newHeaderError returns the error of a call that has received no usable response header.
func newHeaderError(err error) error {
	statusErr, limitErr := (*statusError)(nil), (*inputlimit.Error)(nil)
	switch {
	case errors.As(err, &statusErr), isMalformedStatus(err):
		return &callError{listlease.Unavailable, err}
	case errors.As(err, &limitErr):
		return &callError{listlease.Unusable, err}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &callError{listlease.Unanswered, err}
	}
	return &callError{listlease.Reset, err}
}

// isMalformedStatus reports whether net/http could not parse the status line. It has no exported error for
// that; all other errors of a response's head come from the connection, its limits, or the header lines.
func isMalformedStatus(err error) bool {
	headErr, netErr := (*headError)(nil), net.Error(nil)
	headerLineErr, limitErr := textproto.ProtocolError(""), (*inputlimit.Error)(nil)
	switch {
	case !errors.As(err, &headErr), errors.Is(err, io.ErrUnexpectedEOF):
		return false
	case errors.As(err, &netErr), errors.As(err, &headerLineErr), errors.As(err, &limitErr):
		return false
	}
	return true
}

// newMessageError returns the error of a call that has received a response header.
func newMessageError(err error) error {
	syntaxErr, typeErr := (*json.SyntaxError)(nil), (*json.UnmarshalTypeError)(nil)
	messageErr, limitErr := (*messageError)(nil), (*inputlimit.Error)(nil)
	if errors.As(err, &syntaxErr) || errors.As(err, &typeErr) || errors.As(err, &messageErr) ||
		errors.As(err, &limitErr) {
		return &callError{listlease.Unusable, err}
	}
	return &callError{listlease.Incomplete, err}
}
