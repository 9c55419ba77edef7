package udp

import (
	"errors"
	"syscall"
)

// truncated marks a datagram that did not fit.
const truncatedFlag = syscall.MSG_TRUNC

// isRefused tells whether an error is an ICMP port unreachable of before.
func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
