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
func (c *Client) Run(ctx context.Context) {
	tick := time.NewTicker(ReportInterval)
	defer tick.Stop()
	for connected := true; ; {
		err := c.converse(ctx, tick, func() { connected = true })
		if ctx.Err() != nil {
			return
		}
		if connected {
			c.OnDisconnect(fmt.Errorf("fleet agent %s: %w", c.Addr, err))
		}
		connected = false
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// talk asks over one connection until it breaks.
func (c *Client) converse(ctx context.Context, tick *time.Ticker, connected func()) error {
	conn, err := (&net.Dialer{Timeout: responseTimeout}).DialContext(ctx, "tcp", c.Addr)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	scanner := newLineScanner(conn)
	for {
		if err := conn.SetDeadline(time.Now().Add(responseTimeout)); err != nil {
			return err
		}
		if err := json.NewEncoder(conn).Encode(c.MakeReport()); err != nil {
			return err
		}
		var response Response
		if err := readLine(scanner, &response); err != nil {
			return err
		}
		connected()
		c.HandleResponse(response)
		if response.More && ctx.Err() == nil {
			continue
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}
