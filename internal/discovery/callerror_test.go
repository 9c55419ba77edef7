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

// Of a connection that does not come up only what the network says counts as the service's: that nobody listens, or
// silence. What this machine fails at says nothing of it.
func TestDialErrorsByWhoIsAtFault(t *testing.T) {
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
		failed := (*callError)(nil)
		if !errors.As(newDialError(wrapped), &failed) || failed.outcome != want {
			t.Errorf("%v: %v, want %v", wrapped, failed.outcome, want)
		}
	}
}
