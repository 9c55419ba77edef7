package discovery

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"coralrelay/internal/listlease"
)

// A failed dial counts against the service only if the network gave the reason: the connection was
// refused or reset, or it timed out. Local errors tell nothing about the service.
func TestNewDialErrorOutcomes(t *testing.T) {
	expired, cancel := context.WithDeadline(t.Context(), time.Unix(1, 0))
	defer cancel()
	_, deadlinePassed := (&net.Dialer{}).DialContext(expired, "tcp", "127.0.0.1:1")
	tests := map[error]listlease.Outcome{
		syscall.ECONNREFUSED:   listlease.ConnectRefused,
		syscall.ECONNRESET:     listlease.Reset,
		syscall.ETIMEDOUT:      listlease.ConnectTimedOut,
		os.ErrDeadlineExceeded: listlease.ConnectTimedOut,
		deadlinePassed:         listlease.ConnectTimedOut,
		syscall.EHOSTUNREACH:   listlease.NotMade,
		syscall.ENETUNREACH:    listlease.NotMade,
		syscall.EADDRNOTAVAIL:  listlease.NotMade,
		syscall.EMFILE:         listlease.NotMade,
		syscall.ENOBUFS:        listlease.NotMade,
		syscall.ECONNABORTED:   listlease.NotMade,
		errors.New("other"):    listlease.NotMade,
	}
	for err, want := range tests {
		wrapped := fmt.Errorf("dial: %w", err)
		if errno := syscall.Errno(0); errors.As(err, &errno) {
			wrapped = &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", errno)}
		}
		callErr := (*callError)(nil)
		if !errors.As(newDialError(wrapped), &callErr) || callErr.outcome != want {
			t.Errorf("%v: %v, want %v", wrapped, callErr.outcome, want)
		}
	}
}
