package testbed

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"coralrelay/internal/fake"
	"coralrelay/internal/fleet/agentapi"
	"coralrelay/internal/operatorconfig"
)

// Agent is a member: the process beside one node.
type Agent struct {
	*Process
	Addr string // where it answers its node and operators
}

// Ask asks it as an operator does.
func (a *Agent) Call(ask, into any) error { return agentapi.Call(a.Addr, ask, into) }

// agent returns the agent beside a node, which is not started yet.
func (w *Testbed) agent(n *Node, own *operatorconfig.File) *Agent {
	p := &Process{Name: "agent " + n.Name, Binary: w.Agent, Dir: n.Dir, Log: "agent.log",
		Args: []string{"--config", filepath.Join(n.Dir, "operator.json")}, Env: []string{"CORALRELAY_SABOTAGE=" + w.Mutation}}
	if w.ClockOffset != nil {
		p.Args = append(p.Args, "--clock-offset="+w.ClockOffset(n.Name).String())
	}
	return &Agent{Process: p, Addr: own.Fleet.Agent}
}

// member writes what one member's file says, and opens its ways through the relay.
func (w *Testbed) member(name string, number int) (operatorconfig.File, error) {
	own := operatorconfig.Default()
	own.Log.Level = "warn"
	bind, at, err := w.AddProxiedAddress(name, number+1)
	if err != nil || w.WithoutAgents {
		return own, err
	}
	w.peers = append(w.peers, at)
	own.Fleet = w.Fleet
	own.Fleet.Name, own.Fleet.Bind, own.Fleet.Advertise = name, bind, at
	if own.Fleet.Agent, err = Reserve(); err != nil || w.Voters == 0 {
		return own, err
	}
	zone := w.Zone(name)
	if bind, at, err = w.AddProxiedAddress(name, number+1); err != nil {
		return own, err
	}
	own.Fleet.Zone = zone
	own.Fleet.ReplicatedLog.Dir, own.Fleet.ReplicatedLog.Bind, own.Fleet.ReplicatedLog.Advertise = filepath.Join(w.Dir, name, "record"), bind, at
	if number < w.Voters {
		w.Fleet.ReplicatedLog.Voters = append(w.Fleet.ReplicatedLog.Voters, operatorconfig.Voter{Name: name, Addr: at, Zone: zone})
	}
	return own, os.MkdirAll(own.Fleet.ReplicatedLog.Dir, 0o700)
}

// Party opens a way through the relay for who speaks from a loopback address of its own: the
// number says which, 1 to 250. It listens at bind and is reached at at.
func (w *Testbed) AddProxiedAddress(name string, number int) (bind, at string, err error) {
	l, err := net.Listen("tcp", fmt.Sprintf("127.0.5.%d:0", number))
	if err != nil {
		return "", "", err
	}
	bind = l.Addr().String()
	_ = l.Close()
	at, err = w.Proxy.Add(name, bind, fmt.Sprintf("127.0.6.%d", number))
	return bind, at, err
}

// Peers are the addresses at which members are reached.
func (w *Testbed) Peers() []string { return w.peers }

// Fell kills a node with its agent, as a machine that is lost.
func (w *Testbed) KillMachine(name string) {
	for _, n := range w.Nodes {
		if n.Name == name {
			n.Kill()
		}
	}
	if a := w.Agents[name]; a != nil {
		a.Kill()
	}
}

// Rise starts a node with its agent again.
func (w *Testbed) RestartMachine(ctx context.Context, name string) error {
	if a := w.Agents[name]; a != nil {
		if err := a.Start(); err != nil {
			return err
		}
	}
	for _, n := range w.Nodes {
		if n.Name == name {
			return n.Start(ctx)
		}
	}
	return nil
}

// looking is how often a scene looks whether what it waits for has come.
const looking = 20 * time.Millisecond

// Await looks until something is so, or until it is late; it tells how long that took and
// whether it came.
func Await(ctx context.Context, within time.Duration, so func() bool) (took time.Duration, came bool) {
	begun := time.Now()
	for {
		if so() {
			return time.Since(begun), true
		}
		if took = time.Since(begun); took > within || !fake.Sleep(ctx, looking) {
			return took, false
		}
	}
}

// WhenIndex calls do as soon as an agent has an entry of the record that is at index or
// later: index reads what it has. It is false where that takes too long.
func AfterIndex(ctx context.Context, index func() uint64, at uint64, within time.Duration, do func()) bool {
	_, came := Await(ctx, within, func() bool { return index() >= at })
	if came {
		do()
	}
	return came
}
