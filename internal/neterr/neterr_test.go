package neterr

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
)

func TestClassifiesErrorsOfSocketCalls(t *testing.T) {
	tests := []struct {
		err                          error
		exhausted, local, brokenPath bool
	}{
		{syscall.EMFILE, true, true, false},
		{syscall.ENFILE, true, true, false},
		{syscall.ENOBUFS, true, true, false},
		{syscall.ENOMEM, true, true, false},
		{syscall.EADDRNOTAVAIL, false, true, false},
		{syscall.ECONNREFUSED, false, false, false},
		{syscall.ECONNRESET, false, false, false},
		{syscall.EPIPE, false, false, false},
		{syscall.ETIMEDOUT, false, false, true},
		{syscall.ENETUNREACH, false, false, true},
		{syscall.EHOSTUNREACH, false, false, true},
		{errors.New("other"), false, false, false},
		{nil, false, false, false},
	}
	for _, tt := range tests {
		wrapped := tt.err
		if tt.err != nil {
			wrapped = fmt.Errorf("attempt: %w",
				&net.OpError{Op: "dial", Err: os.NewSyscallError("connect", tt.err)})
		}
		for _, err := range []error{tt.err, wrapped} {
			if got := IsExhausted(err); got != tt.exhausted {
				t.Errorf("IsExhausted(%v) = %v", err, got)
			}
			if got := IsLocal(err); got != tt.local {
				t.Errorf("IsLocal(%v) = %v", err, got)
			}
			if got := IsBrokenPath(err); got != tt.brokenPath {
				t.Errorf("IsBrokenPath(%v) = %v", err, got)
			}
		}
	}
}
