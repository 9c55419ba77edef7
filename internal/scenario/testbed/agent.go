package testbed

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"

	"coralrelay/internal/fleet/agentapi"
	"coralrelay/internal/loopback"
	"coralrelay/internal/operatorconfig"
)

// Agent is a member of the fleet: the process beside one node.
type Agent struct {
	*Process
	Addr string // where it answers its node and operators
}

// Call sends a request as an operator does and decodes the answer into a pointer.
func (a *Agent) Call(request, answer any) error { return agentapi.Call(a.Addr, request, answer) }

// newAgent returns the agent beside a node; it is not started yet.
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

// newMemberConfig returns what one member's file says, and opens its addresses at the proxy. The
// first members are added to the voters.
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

// configureLog sets what a member's file says of the replicated log.
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

// AddProxiedAddress opens an address at the proxy for a party that speaks from a loopback
// address of its own, which the number tells: 1 to 250. The party listens at bind and is reached
// at advertise.
func (bed *Testbed) AddProxiedAddress(name string, number int) (bind, advertise string, err error) {
	listener, err := net.Listen("tcp", fmt.Sprintf("127.0.5.%d:0", number))
	if err != nil {
		return "", "", err
	}
	bind = listener.Addr().String()
	_ = listener.Close()
	advertise, err = bed.Proxy.Add(name, bind, fmt.Sprintf("127.0.6.%d", number))
	return bind, advertise, err
}

// Peers returns the addresses at which members reach one another's gossip.
func (bed *Testbed) Peers() []string { return bed.gossipAddresses }

// KillMachine kills a node with its agent, as on a machine that is lost.
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

// RestartMachine starts an agent and its node again.
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
