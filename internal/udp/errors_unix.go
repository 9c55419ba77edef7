package udp

import (
	"errors"
	"syscall"
)

// truncatedFlag is set on a received datagram that was larger than the buffer.
const truncatedFlag = syscall.MSG_TRUNC

// isRefused reports whether a socket error stems from an ICMP port unreachable message, which
// answers an earlier datagram.
func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
