// Command coralagent is the agent of one node: it exchanges reports with the agents of the other
// nodes by gossip and tells its node the node's share of the fleet-wide limits.
//
// The gossip member runs on the main goroutine; the replica, the agent and the agent's API run
// on one goroutine each. All of them end when a signal arrives, or when the gossip member or the
// API fails. The method run returns after all of them have ended.
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

// component is the value of the attribute "component" in the log lines of this command.
const component = "agent"

// command holds the command-line flags; kong derives their names from the field names.
type command struct {
	Config      string        `required:"" placeholder:"FILE" help:"The operator's file, CUE or JSON; the same file as the node's."`
	ClockOffset time.Duration `hidden:"" help:"How far this agent's clock is ahead of the machine's clock, for tests."`
}

const description = "The agent beside one node, through which nodes share limits and outlier reports. " +
	"docs/operate/fleet-limits.md describes its configuration keys."

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

// run runs the agent until ctx ends, or until the gossip member or the API fails.
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
			// The agent serves its node without the replicated log.
			slog.Error("replicated log unavailable, the agent acts on its node's observations",
				"component", component, "error", err)
			options.NoLogReason = err.Error()
		}
	}
	nodeAgent := agent.New(options)
	goroutines.Go(func() { nodeAgent.Run(ctx) })
	serveResult := make(chan error, 1)
	go func() {
		defer cancel() // without the API the node can't reach the agent
		serveResult <- agentapi.Serve(ctx, listener, nodeAgent)
	}()
	slog.Info("serving", "component", component, "name", fleet.Name, "gossip_address", fleet.Bind,
		"api_address", fleet.AgentAddr, "replicated_log", fleet.ReplicatedLog.IsEnabled(),
		"zones", fleet.Zones.Enabled)
	err = member.Run(ctx, gossipConfig(fleet))
	cancel()
	if serveErr := <-serveResult; err == nil {
		err = serveErr
	}
	return err
}

// loadConfig reads the operator's file, sets up logging accordingly and returns the fleet's configuration.
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
			Key: "fleet.agent", Found: `""`, Allowed: "HOST:PORT, at which the node reaches the agent"}
	}
	return config.Fleet, nil
}

// processStart is the reference time of the method clock.
var processStart = time.Now()

// clock returns this agent's Unix time, which includes ClockOffset. It advances with the monotonic
// clock, so that steps of the wall clock do not affect leases, ages and epochs, which measure
// elapsed time.
func (c *command) clock() time.Duration {
	return time.Duration(processStart.UnixNano()) + time.Since(processStart) + c.ClockOffset
}

// agentOptions returns the agent's options; startReplica adds the replicated log.
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
		ZoneGuards:     disabledZoneGuards(),
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
