// Package neterr classifies the errors of socket calls by their cause: this process, which has run
// out of a resource, the network path, or the peer. It does no I/O and starts no goroutines.
package neterr

import (
	"errors"
	"slices"
	"syscall"
)

// exhausted lists the errors of a process or machine that has run out of descriptors or buffers.
var exhausted = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM}

// brokenPath lists the errors of a connection whose network path is broken, whatever the state of
// the peer.
var brokenPath = []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH,
	syscall.EHOSTDOWN, syscall.ENETDOWN}

// IsExhausted reports whether a call has failed because this process or its machine has run out of
// descriptors or buffers. The call may succeed once some connections are closed.
func IsExhausted(err error) bool {
	return isAny(err, exhausted)
}

// IsBrokenPath reports whether a read or write has failed because the network path to the peer is
// broken. The peer may be healthy, and has not closed the connection.
func IsBrokenPath(err error) bool { return isAny(err, brokenPath) }

// isAny reports whether err is one of the errors in list.
func isAny(err error, list []syscall.Errno) bool {
	return slices.ContainsFunc(list, func(errno syscall.Errno) bool { return errors.Is(err, errno) })
}

// IsLocal reports whether a connection attempt has failed for a local reason, so that the failure
// says nothing about the peer: IsExhausted, or no local port is free.
func IsLocal(err error) bool { return IsExhausted(err) || errors.Is(err, syscall.EADDRNOTAVAIL) }
