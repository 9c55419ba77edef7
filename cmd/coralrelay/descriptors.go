package main

import (
	"coralrelay/internal/admin"
	"coralrelay/internal/config"
	"coralrelay/internal/downstream"
	"coralrelay/internal/instancelock"
	"coralrelay/internal/operatorconfig"
)

const (
	// minClientSockets are reserved for the line protocol, however many the configuration assigns to UDP.
	minClientSockets = 64
	// baseDescriptors are open without any client: the three standard streams, the runtime's two, the
	// clients' listener, the discovery watch and the one that it replaces, a configuration file during a
	// reload, and two of attempts that have just ended. The listener's spare descriptor is not counted,
	// because it is released when no other descriptor is left.
	baseDescriptors = 11
	// siblingDescriptors are used by a process that may have a sibling: the instance lock, the hot restart
	// listener, the connection from a predecessor's sender, and the connection to a successor.
	siblingDescriptors = 4
	// agentDescriptors are used by the connection to the agent and the one that it replaces.
	agentDescriptors = 2
	// maxProbeConns bounds the probe connections. It covers all endpoints of a fleet of the usual size; in a
	// larger fleet, a node keeps connections to a subset of the endpoints (balance/subset.go).
	maxProbeConns = 200
	// probeConnsDivisor limits probe connections to 1/probeConnsDivisor of all descriptors.
	probeConnsDivisor = 4
)

// descriptorBudget divides the descriptors that a process may hold. The shares of discovery, operators
// and probe connections do not depend on the number of clients.
type descriptorBudget struct {
	total    int
	reserved int // the part of total whose use does not grow with the endpoint list
}

// newDescriptorBudget reserves descriptors for the components that the configuration enables.
func newDescriptorBudget(
	cfg config.Config, operatorFile operatorconfig.File, lock *instancelock.Lock,
) descriptorBudget {
	budget := descriptorBudget{total: cfg.Limits.Sockets, reserved: baseDescriptors}
	if operatorFile.UDP.Listen != "" {
		budget.total = max(budget.total-operatorFile.UDP.Sockets, minClientSockets)
	}
	if cfg.AdminAddr != "" { // connections with a slot, the listener, a connection that waits for a slot
		budget.reserved += admin.MaxConnections + 2
	}
	if lock != nil {
		budget.reserved += siblingDescriptors
	}
	if operatorFile.Fleet.AgentAddr != "" {
		budget.reserved += agentDescriptors
	}
	if operatorFile.Resume.Enabled { // the store's file, a listener, and a connection from and to each peer
		budget.reserved += 2 + 2*len(operatorFile.Resume.ReplayGuard.Peers)
	}
	return budget
}

// probeLimit returns how many probe connections the process may hold.
func (d descriptorBudget) probeLimit() int { return min(d.total/probeConnsDivisor, maxProbeConns) }

// clientLimit returns how many sockets clients and their attempts may use while the given number
// of endpoints is listed, apart from the sockets that linger after their last answer. Clients have a
// quarter of all descriptors at least, however long the list is.
func (d descriptorBudget) clientLimit(endpoints int) int {
	remaining := max(d.total-d.reserved-min(endpoints, d.probeLimit()), d.total/4)
	return remaining - downstream.LingeringSockets(remaining*16/17)
}
