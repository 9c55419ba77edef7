// Command coralagent is the agent beside one node: it gossips with the agents of the other
// nodes and tells its node what it may spend of what the whole fleet keeps.
//
// Goroutines: the gossip member runs on the main one; the replica, the agent and its API
// have one each. They end when a signal arrives, or when the gossip or the API fails, and
// run returns after all of them.
package main

import (
	"context"
	"log/slog"
	"net"
	"os"
	"os/signal"
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

// component is the attribute of the command's log lines.
const component = "agent"

// command has the flags: kong makes their names from the fields' names.
type command struct {
	Config      string        `required:"" placeholder:"FILE" help:"The operator's own file, CUE or JSON, that the node has too."`
	ClockOffset time.Duration `hidden:"" help:"How far this agent's clock is ahead of the machine's, for rehearsals."`
}

const description = "The agent beside one node, through which nodes share limits and verdicts. " +
	"docs/operate/fleet-limits.md has its keys."

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	logging.Setup(os.Stderr, false)
	var flags command
	kong.Parse(&flags, kong.Name("coralagent"), kong.Description(description))
	if err := flags.run(ctx); err != nil {
		slog.Error("agent failed", "component", component, "error", err)
		os.Exit(1)
	}
}

// run serves until ctx ends.
func (c *command) run(ctx context.Context) error {
	fleet, err := c.loadConfig()
	if err != nil {
		return err
	}
	member := newMember(fleet, c.clock)
	listener, err := net.Listen("tcp", fleet.AgentAddr)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	var goroutines sync.WaitGroup
	defer goroutines.Wait()
	defer cancel()
	options := c.agentOptions(fleet, member)
	if fleet.ReplicatedLog.IsEnabled() {
		if err := startReplica(ctx, &goroutines, fleet, &options); err != nil {
			// The node beside this agent is served all the same.
			slog.Error("replicated log unavailable, the agent acts on its node's observations",
				"component", component, "error", err)
			options.NoLogReason = err.Error()
		}
	}
	a := agent.New(options)
	goroutines.Go(func() { a.Run(ctx) })
	served := make(chan error, 1)
	go func() {
		defer cancel() // without the API the node can't ask
		served <- agentapi.Serve(ctx, listener, a)
	}()
	slog.Info("serving", "component", component, "name", fleet.Name, "gossip_address", fleet.Bind,
		"api_address", fleet.AgentAddr, "replicated_log", fleet.ReplicatedLog.IsEnabled(), "zones", fleet.Zones.Enabled)
	err = member.Run(ctx, gossipConfig(fleet))
	cancel()
	if serveErr := <-served; err == nil {
		err = serveErr
	}
	return err
}

// loadConfig reads the operator's file and sets logging up as it says.
func (c *command) loadConfig() (operatorconfig.Fleet, error) {
	config, err := operatorconfig.Load(c.Config)
	if err != nil {
		return operatorconfig.Fleet{}, err
	}
	logging.Setup(os.Stderr, config.Log.Format == "json")
	if err := logging.SetLevel(config.Log.Level); err != nil {
		return operatorconfig.Fleet{}, err
	}
	if config.Fleet.AgentAddr == "" {
		return operatorconfig.Fleet{}, operatorconfig.KeyError{
			Key: "fleet.agent", Found: `""`, Allowed: "HOST:PORT, where the node asks"}
	}
	return config.Fleet, nil
}

// processStart is where this process's clock is anchored.
var processStart = time.Now()

// clock returns Unix time, as this agent has it: it goes on evenly when the wall clock steps, since
// leases, ages and epochs are spans of real time.
func (c *command) clock() time.Duration {
	return time.Duration(processStart.UnixNano()) + time.Since(processStart) + c.ClockOffset
}

// agentOptions returns the agent's options without a replicated log.
func (c *command) agentOptions(fleet operatorconfig.Fleet, member *gossip.Member) agent.Options {
	options := agent.Options{
		Name:           fleet.Name,
		Zone:           fleet.Zone,
		Gossip:         member,
		NoLogReason:    "off",
		LogLease:       fleet.ReplicatedLog.Lease.Duration,
		Clock:          c.clock,
		ClockOffset:    c.ClockOffset,
		AlwaysIsolated: mutation.Enabled("together"),
		ZoneGuards:     zoneGuards(),
		SLO:            sloOptions(fleet),
	}
	if fleet.Zones.Enabled {
		zones := fleet.Zones.Config()
		options.Zones = &zones
	}
	if fleet.ReplicatedLog.IsEnabled() {
		leaseConfig := fleet.AllocationConfig()
		options.Accounts = &leaseConfig
	}
	return options
}
