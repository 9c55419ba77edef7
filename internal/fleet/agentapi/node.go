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
const ReportInterval = 100 * time.Millisecond

// Link is the node's end.
type Client struct {
	Addr           string
	MakeReport     func() Report
	HandleResponse func(Response)
	OnDisconnect   func(err error) // told once each time that the agent can't be reached any more
}

// Run asks until ctx ends.
func (l *Client) Run(ctx context.Context) {
	tick := time.NewTicker(ReportInterval)
	defer tick.Stop()
	for up := true; ; {
		err := l.talk(ctx, tick, func() { up = true })
		if ctx.Err() != nil {
			return
		}
		if up {
			l.OnDisconnect(fmt.Errorf("fleet agent %s: %w", l.Addr, err))
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
func (l *Client) talk(ctx context.Context, tick *time.Ticker, up func()) error {
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
		if err := json.NewEncoder(conn).Encode(l.MakeReport()); err != nil {
			return err
		}
		var t Response
		if err := next(in, &t); err != nil {
			return err
		}
		up()
		l.HandleResponse(t)
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
