// Command coralagent is the agent beside one node: it gossips with the agents of the other
// nodes and tells its node what it may spend of what the whole fleet keeps.
package main

import (
	"context"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"coralrelay/internal/fleet/agent"
	"coralrelay/internal/fleet/agentapi"
	"coralrelay/internal/fleet/gossip"
	"coralrelay/internal/logging"
	"coralrelay/internal/mutation"
	"coralrelay/internal/operatorconfig"
)

type cli struct {
	Config      string        `required:"" placeholder:"FILE" help:"The operator's own file, CUE or JSON, that the node has too."`
	ClockOffset time.Duration `hidden:"" help:"How far this agent's clock is ahead of the machine's, for rehearsals."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	logging.Setup(os.Stderr, false)
	var c cli
	kong.Parse(&c, kong.Name("coralagent"),
		kong.Description("The agent beside one node, through which nodes share limits and verdicts. docs/operate/fleet-limits.md has its keys."))
	if err := c.run(ctx); err != nil {
		slog.Error("coralagent", "err", err)
		os.Exit(1)
	}
}

func (c *cli) run(ctx context.Context) error {
	own, err := operatorconfig.Load(c.Config)
	if err != nil {
		return err
	}
	logging.Setup(os.Stderr, own.Log.Format == "json")
	if err := logging.SetLevel(own.Log.Level); err != nil {
		return err
	}
	f := own.Fleet
	if f.Agent == "" {
		return operatorconfig.KeyError{Key: "fleet.agent", Found: `""`, Allowed: "HOST:PORT, where the node asks"}
	}
	clock := func() time.Duration { return time.Duration(time.Now().UnixNano()) + c.ClockOffset }
	m := newMember(f, clock)
	l, err := net.Listen("tcp", f.Agent)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	var parts sync.WaitGroup
	defer parts.Wait()
	defer cancel()
	o := agent.Options{Name: f.Name, Zone: f.Zone, Gossip: m, NoLogReason: "off", LogLease: f.ReplicatedLog.Lease.Duration, Clock: clock,
		ClockOffset: c.ClockOffset, AlwaysIsolated: mutation.Enabled("together"), ZoneGuards: zoneGuards()}
	if f.Zones.Enabled {
		zones := f.Zones.Config()
		o.Zones = &zones
	}
	o.SLO = promises(f)
	if f.ReplicatedLog.IsEnabled() {
		deal := f.AllocationConfig()
		o.Accounts = &deal
		if err := keepRecord(ctx, &parts, f, &o); err != nil {
			// The node beside this agent is served all the same.
			slog.Error("fleet: the record is not kept, this member acts on what its node sees", "err", err)
			o.NoLogReason = err.Error()
		}
	}
	a := agent.New(o)
	parts.Go(func() { a.Run(ctx) })
	served := make(chan error, 1)
	go func() {
		defer cancel() // without it the node can't ask
		served <- agentapi.Serve(ctx, l, a)
	}()
	slog.Info("fleet agent", "name", f.Name, "bind", f.Bind, "agent", f.Agent, "record", f.ReplicatedLog.IsEnabled(), "zones", f.Zones.Enabled)
	err = m.Run(ctx, gossip.Config{BindAddress: f.Bind, AdvertiseAddress: f.Advertise, Peers: f.Peers, KeyFile: f.Key,
		Unencrypted: mutation.Enabled("open"), Interval: f.Interval.Duration, LogOutput: toLog{}})
	cancel()
	if e := <-served; err == nil {
		err = e
	}
	return err
}

// toLog takes memberlist's and raft's lines, which begin with their level.
type toLog struct{}

func (toLog) Write(b []byte) (int, error) {
	text := strings.TrimSpace(string(b))
	level := slog.LevelDebug
	if strings.HasPrefix(text, "[ERR") || strings.HasPrefix(text, "[WARN]") {
		level = slog.LevelInfo // a peer that is gone is no fault of this one
	}
	slog.Log(context.Background(), level, text)
	return len(b), nil
}
