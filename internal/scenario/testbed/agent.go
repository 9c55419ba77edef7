package testbed

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"coralrelay/internal/fleet/agentapi"
	"coralrelay/internal/loopback"
	"coralrelay/internal/operatorconfig"
)

// Agent is a fleet member: the agent process that runs beside one node.
type Agent struct {
	*Process
	Addr string // at which the agent serves its node and operators
}

// Call sends a request to the agent's operator interface and decodes the answer into the value that
// answer points to.
func (a *Agent) Call(request, answer any) error { return agentapi.Call(a.Addr, request, answer) }

// newAgent returns the agent of a node without starting it.
func (bed *Testbed) newAgent(node *Node, config *operatorconfig.File) *Agent {
	process := &Process{
		Name:   "agent " + node.Name,
		Binary: bed.Agent,
		Dir:    node.Dir,
		Log:    "agent.log",
		Args:   []string{"--config", filepath.Join(node.Dir, operatorConfigFile)},
		Env:    []string{mutationVariable + "=" + bed.Mutation},
	}
	if bed.ClockOffset != nil {
		process.Args = append(process.Args, "--clock-offset="+bed.ClockOffset(node.Name).String())
	}
	return &Agent{Process: process, Addr: config.Fleet.AgentAddr}
}

// newMemberConfig returns the operator configuration of one member and opens the member's addresses
// at the proxy. The first bed.Voters members become voters of the replicated log.
func (bed *Testbed) newMemberConfig(name string, number int) (operatorconfig.File, error) {
	config := operatorconfig.Default()
	config.Log.Level = "warn"
	bind, advertise, err := bed.AddProxiedAddress(name, number+1)
	if err != nil || bed.WithoutAgents {
		return config, err
	}
	bed.gossipAddresses = append(bed.gossipAddresses, advertise)
	config.Fleet = bed.Fleet
	config.Fleet.Name = name
	config.Fleet.Bind = bind
	config.Fleet.Advertise = advertise
	if config.Fleet.AgentAddr, err = loopback.Reserve(); err != nil || bed.Voters == 0 {
		return config, err
	}
	return config, bed.configureLog(&config, name, number)
}

// configureLog sets the replicated log section of a member's configuration, and registers the member
// as a voter if its number is below bed.Voters.
func (bed *Testbed) configureLog(config *operatorconfig.File, name string, number int) error {
	zone := bed.Zone(name)
	bind, advertise, err := bed.AddProxiedAddress(name, number+1)
	if err != nil {
		return err
	}
	config.Fleet.Zone = zone
	config.Fleet.ReplicatedLog.Dir = filepath.Join(bed.Dir, name, "record")
	config.Fleet.ReplicatedLog.Bind = bind
	config.Fleet.ReplicatedLog.Advertise = advertise
	if number < bed.Voters {
		voter := operatorconfig.Voter{Name: name, Addr: advertise, Zone: zone}
		bed.Fleet.ReplicatedLog.Voters = append(bed.Fleet.ReplicatedLog.Voters, voter)
	}
	return os.MkdirAll(config.Fleet.ReplicatedLog.Dir, 0o700)
}

// AddProxiedAddress opens an address at the proxy for a party that sends from a loopback address of
// its own. The number is the last byte of that address and must be in the range 1 to 250. The party
// must listen on bind; the other parties reach it at advertise.
func (bed *Testbed) AddProxiedAddress(name string, number int) (bind, advertise string, err error) {
	listener, err := loopback.ListenOn(fmt.Sprintf("127.0.5.%d", number))
	if err != nil {
		return "", "", err
	}
	bind = listener.Addr().String()
	_ = listener.Close()
	advertise, err = bed.Proxy.Add(name, bind, fmt.Sprintf("127.0.6.%d", number))
	return bind, advertise, err
}

// Peers returns the gossip addresses that the members advertise.
func (bed *Testbed) Peers() []string { return bed.gossipAddresses }

// KillMachine kills a node and its agent, which simulates the loss of their machine.
func (bed *Testbed) KillMachine(name string) {
	for _, node := range bed.Nodes {
		if node.Name == name {
			node.Kill()
		}
	}
	if agent := bed.Agents[name]; agent != nil {
		agent.Kill()
	}
}

// RestartMachine starts the agent and the node of a killed machine again.
func (bed *Testbed) RestartMachine(ctx context.Context, name string) error {
	if agent := bed.Agents[name]; agent != nil {
		if err := agent.Start(); err != nil {
			return err
		}
	}
	for _, node := range bed.Nodes {
		if node.Name == name {
			return node.Start(ctx)
		}
	}
	return nil
}
