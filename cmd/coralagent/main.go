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

type command struct {
	Config      string        `required:"" placeholder:"FILE" help:"The operator's own file, CUE or JSON, that the node has too."`
	ClockOffset time.Duration `hidden:"" help:"How far this agent's clock is ahead of the machine's, for rehearsals."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	logging.Setup(os.Stderr, false)
	var flags command
	kong.Parse(&flags, kong.Name("coralagent"),
		kong.Description("The agent beside one node, through which nodes share limits and verdicts. docs/operate/fleet-limits.md has its keys."))
	if err := flags.run(ctx); err != nil {
		slog.Error("coralagent", "err", err)
		os.Exit(1)
	}
}

func (c *command) run(ctx context.Context) error {
	operatorConfig, err := operatorconfig.Load(c.Config)
	if err != nil {
		return err
	}
	logging.Setup(os.Stderr, operatorConfig.Log.Format == "json")
	if err := logging.SetLevel(operatorConfig.Log.Level); err != nil {
		return err
	}
	fleet := operatorConfig.Fleet
	if fleet.Agent == "" {
		return operatorconfig.KeyError{Key: "fleet.agent", Found: `""`, Allowed: "HOST:PORT, where the node asks"}
	}
	clock := func() time.Duration { return time.Duration(time.Now().UnixNano()) + c.ClockOffset }
	member := newMember(fleet, clock)
	listener, err := net.Listen("tcp", fleet.Agent)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	var goroutines sync.WaitGroup
	defer goroutines.Wait()
	defer cancel()
	options := agent.Options{Name: fleet.Name, Zone: fleet.Zone, Gossip: member, NoLogReason: "off", LogLease: fleet.ReplicatedLog.Lease.Duration, Clock: clock,
		ClockOffset: c.ClockOffset, AlwaysIsolated: mutation.Enabled("together"), ZoneGuards: zoneGuards()}
	if fleet.Zones.Enabled {
		zones := fleet.Zones.Config()
		options.Zones = &zones
	}
	options.SLO = sloOptions(fleet)
	if fleet.ReplicatedLog.IsEnabled() {
		leaseConfig := fleet.AllocationConfig()
		options.Accounts = &leaseConfig
		if err := startReplica(ctx, &goroutines, fleet, &options); err != nil {
			// The node beside this agent is served all the same.
			slog.Error("fleet: the record is not kept, this member acts on what its node sees", "err", err)
			options.NoLogReason = err.Error()
		}
	}
	a := agent.New(options)
	goroutines.Go(func() { a.Run(ctx) })
	serveErr := make(chan error, 1)
	go func() {
		defer cancel() // without it the node can't ask
		serveErr <- agentapi.Serve(ctx, listener, a)
	}()
	slog.Info("fleet agent", "name", fleet.Name, "bind", fleet.Bind, "agent", fleet.Agent, "record", fleet.ReplicatedLog.IsEnabled(), "zones", fleet.Zones.Enabled)
	err = member.Run(ctx, gossip.Config{BindAddress: fleet.Bind, AdvertiseAddress: fleet.Advertise, Peers: fleet.Peers, KeyFile: fleet.Key,
		Unencrypted: mutation.Enabled("open"), Interval: fleet.Interval.Duration, LogOutput: libraryLog{}})
	cancel()
	if serveFailure := <-serveErr; err == nil {
		err = serveFailure
	}
	return err
}

// toLog takes memberlist's and raft's lines, which begin with their level.
type libraryLog struct{}

func (libraryLog) Write(b []byte) (int, error) {
	text := strings.TrimSpace(string(b))
	level := slog.LevelDebug
	if strings.HasPrefix(text, "[ERR") || strings.HasPrefix(text, "[WARN]") {
		level = slog.LevelInfo // a peer that is gone is no fault of this one
	}
	slog.Log(context.Background(), level, text)
	return len(b), nil
}
