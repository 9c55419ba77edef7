//go:build !mutation

package sysfault

import (
	"context"
	"net"
	"time"
)

// DialFunc connects to an address by a deadline.
type DialFunc func(ctx context.Context, addr string, deadline time.Time) (net.Conn, error)

// Dial returns the function as it is.
func Dial(dial DialFunc) DialFunc { return dial }

// Listener returns the listener as it is.
func Listener(listener net.Listener) net.Listener { return listener }

// WallNow returns the time of the wall clock.
func WallNow() time.Time { return time.Now() }
