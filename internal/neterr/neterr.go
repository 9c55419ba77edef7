// Package neterr classifies the errors of socket calls by who is at fault: this process, which
// has run out of something, or the other side. It does no I/O and starts no goroutine.
package neterr

import (
	"errors"
	"slices"
	"syscall"
)

// exhausted are the errors of a process or machine that has run out of descriptors or buffers.
var exhausted = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM}

// brokenPath are the errors of a connection whose path has broken, whatever the other side does.
var brokenPath = []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.EHOSTDOWN,
	syscall.ENETDOWN}

// IsExhausted reports whether a call has failed because this process or its machine has run out of
// descriptors or buffers. The call may succeed once some connections are closed.
func IsExhausted(err error) bool {
	return isAny(err, exhausted)
}

// IsBrokenPath reports whether a read or write has failed because the path to the other side has
// broken: the other side may be well, and has not ended the connection.
func IsBrokenPath(err error) bool { return isAny(err, brokenPath) }

// isAny reports whether an error is one of a list.
func isAny(err error, list []syscall.Errno) bool {
	return slices.ContainsFunc(list, func(errno syscall.Errno) bool { return errors.Is(err, errno) })
}

// IsLocal reports whether a connection could not even be tried, so that its failure says nothing of
// the other side: IsExhausted, or no local port is left.
func IsLocal(err error) bool { return IsExhausted(err) || errors.Is(err, syscall.EADDRNOTAVAIL) }
