//go:build !mutation

package sysfault

import (
	"context"
	"net"
	"time"
)

// DialFunc connects to an address before a deadline.
type DialFunc func(ctx context.Context, addr string, deadline time.Time) (net.Conn, error)

// Dial returns dial unchanged.
func Dial(dial DialFunc) DialFunc { return dial }

// Listener returns listener unchanged.
func Listener(listener net.Listener) net.Listener { return listener }

// WallNow returns the wall-clock time.
func WallNow() time.Time { return time.Now() }
