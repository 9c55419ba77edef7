package agentapi

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"time"
)

// Every is how often the node asks: often enough to use tokens that are good for half an
// epoch, and to hear of what the fleet has decided, seldom enough to cost nothing beside its
// traffic.
const Every = 100 * time.Millisecond

// Link is the node's end.
type Link struct {
	Addr string
	Say  func() Said
	Take func(Told)
	Lost func(err error) // told once each time that the agent can't be reached any more
}

// Run asks until ctx ends.
func (l *Link) Run(ctx context.Context) {
	tick := time.NewTicker(Every)
	defer tick.Stop()
	for up := true; ; {
		err := l.talk(ctx, tick, func() { up = true })
		if ctx.Err() != nil {
			return
		}
		if up {
			l.Lost(fmt.Errorf("fleet agent %s: %w", l.Addr, err))
		}
		up = false
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// talk asks over one connection until it breaks.
func (l *Link) talk(ctx context.Context, tick *time.Ticker, up func()) error {
	conn, err := (&net.Dialer{Timeout: patience}).DialContext(ctx, "tcp", l.Addr)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	in := lines(conn)
	for {
		if err := conn.SetDeadline(time.Now().Add(patience)); err != nil {
			return err
		}
		if err := json.NewEncoder(conn).Encode(l.Say()); err != nil {
			return err
		}
		var t Told
		if err := next(in, &t); err != nil {
			return err
		}
		up()
		l.Take(t)
		if t.More && ctx.Err() == nil {
			continue
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}
