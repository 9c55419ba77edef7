package udp

import (
	"errors"
	"syscall"
)

// truncatedFlag marks a datagram that was larger than its buffer.
const truncatedFlag = syscall.MSG_TRUNC

// isRefused reports whether a socket's error is an ICMP port unreachable, the answer to an
// earlier datagram.
func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
