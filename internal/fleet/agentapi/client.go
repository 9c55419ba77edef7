package agentapi

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"coralrelay/internal/inputlimit"
)

// ReportInterval is the time between two reports of a node. It is short enough for the node to use
// tokens that are valid for half an epoch and to receive the fleet's decisions in time, and long
// enough for the cost of reporting to be negligible beside the node's traffic.
const ReportInterval = 100 * time.Millisecond

// oversizedRetryInterval is the pause after the agent has sent an update that is too large.
const oversizedRetryInterval = 10 * time.Second

// Client is the node's end of the connection to its agent. Its callbacks run on Run's goroutine.
type Client struct {
	Addr           string
	MakeReport     func() Report
	HandleResponse func(Response) error // an error ends the connection
	OnDisconnect   func(err error)      // called once each time the agent becomes unreachable
}

// Run sends reports until ctx ends. After a connection has failed, it reconnects at the next tick of
// ReportInterval, or after oversizedRetryInterval if the agent's update was too large.
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
		if limitErr := (*inputlimit.Error)(nil); errors.As(err, &limitErr) {
			tick.Reset(oversizedRetryInterval) // the agent would send the same again
		}
		if waitForTick(ctx, tick) != nil {
			return
		}
		tick.Reset(ReportInterval)
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
		response, err := readResponse(scanner)
		if err != nil {
			return err
		}
		onResponse()
		if err := c.HandleResponse(response); err != nil {
			return err
		}
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
