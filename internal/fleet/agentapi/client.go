package agentapi

import (
	"context"
	"fmt"
	"net"
	"time"
)

// ReportInterval is how often the node reports: often enough to use tokens that are valid for half
// an epoch, and to learn what the fleet has decided, seldom enough to cost nothing beside its
// traffic.
const ReportInterval = 100 * time.Millisecond

// Client is the node's end. Its functions are called on Run's goroutine.
type Client struct {
	Addr           string
	MakeReport     func() Report
	HandleResponse func(Response)
	OnDisconnect   func(err error) // called once each time that the agent can't be reached any more
}

// Run reports until ctx ends, and reconnects every ReportInterval.
func (c *Client) Run(ctx context.Context) {
	tick := time.NewTicker(ReportInterval)
	defer tick.Stop()
	connected := true // so that an agent that was never there is reported too
	for {
		err := c.converse(ctx, tick, func() { connected = true })
		if ctx.Err() != nil {
			return
		}
		if connected {
			c.OnDisconnect(fmt.Errorf("fleet agent %s: %w", c.Addr, err))
		}
		connected = false
		if waitForTick(ctx, tick) != nil {
			return
		}
	}
}

// converse reports over one connection until it breaks. It calls connected after each response.
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
		if err := writeLine(conn, c.MakeReport()); err != nil {
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
		if err := waitForTick(ctx, tick); err != nil {
			return err
		}
	}
}

// waitForTick returns ctx's error if that ends first.
func waitForTick(ctx context.Context, tick *time.Ticker) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-tick.C:
		return nil
	}
}
