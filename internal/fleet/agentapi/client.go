package agentapi

import (
	"context"
	"fmt"
	"net"
	"time"
)

// ReportInterval is the time between two reports of a node. It is short enough for the node to use
// tokens that are valid for half an epoch and to receive the fleet's decisions in time, and long
// enough for the cost of reporting to be negligible beside the node's traffic.
const ReportInterval = 100 * time.Millisecond

// Client is the node's end of the connection to its agent. Its callbacks run on Run's goroutine.
type Client struct {
	Addr           string
	MakeReport     func() Report
	HandleResponse func(Response)
	OnDisconnect   func(err error) // called once each time the agent becomes unreachable
}

// Run sends reports until ctx ends. After a connection has failed, it reconnects at the next tick of
// ReportInterval.
func (c *Client) Run(ctx context.Context) {
	tick := time.NewTicker(ReportInterval)
	defer tick.Stop()
	connected := true // initially true so that OnDisconnect also reports an agent that was never reachable
	for {
		err := c.exchangeReports(ctx, tick, func() { connected = true })
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

// exchangeReports sends reports and handles responses over one connection until it fails. It calls
// onResponse after each response.
func (c *Client) exchangeReports(ctx context.Context, tick *time.Ticker, onResponse func()) error {
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
		onResponse()
		c.HandleResponse(response)
		if response.More && ctx.Err() == nil {
			continue
		}
		if err := waitForTick(ctx, tick); err != nil {
			return err
		}
	}
}

// waitForTick waits for the next tick. It returns ctx's error if ctx ends first.
func waitForTick(ctx context.Context, tick *time.Ticker) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-tick.C:
		return nil
	}
}
