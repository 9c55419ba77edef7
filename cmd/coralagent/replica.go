package main

import (
	"context"
	"log/slog"
	"sync"

	"coralrelay/internal/fleet/agent"
	"coralrelay/internal/fleet/gossip"
	"coralrelay/internal/fleet/logentry"
	"coralrelay/internal/fleet/quota"
	"coralrelay/internal/fleet/replog"
	"coralrelay/internal/operatorconfig"
)

// startReplica opens this agent's replica of the log, sets it in the options and runs it
// until ctx ends.
func startReplica(ctx context.Context, goroutines *sync.WaitGroup, fleet operatorconfig.Fleet,
	options *agent.Options) error {
	config, err := replicaOptions(fleet, options.Gossip)
	if err != nil {
		return err
	}
	replica, err := replog.Open(config)
	if err != nil {
		return err
	}
	options.Log = replica
	goroutines.Go(func() {
		if err := replica.Run(ctx); err != nil {
			slog.Error("replicated log ended, the agent acts on its last state and on its node's observations",
				"component", component, "error", err)
		}
	})
	return nil
}

// replicaOptions reads the keys of the replica.
func replicaOptions(fleet operatorconfig.Fleet, member *gossip.Member) (replog.Options, error) {
	key, err := gossip.ReadKey(fleet.KeyFile)
	if err != nil {
		return replog.Options{}, err
	}
	log := fleet.ReplicatedLog
	rootKey, err := log.DecodeRootKey()
	if err != nil {
		return replog.Options{}, err
	}
	var voters []replog.Voter
	for _, voter := range log.Voters {
		voters = append(voters, replog.Voter(voter))
	}
	return replog.Options{
		Name:          fleet.Name,
		Zone:          fleet.Zone,
		Dir:           log.Dir,
		Bind:          log.Bind,
		Advertise:     log.Advertise,
		Voters:        voters,
		Key:           key,
		Genesis:       logentry.Genesis{RootKey: rootKey, Zones: fleet.Zones.Config(), DisabledChecks: accountChecks()},
		Lease:         log.Lease.Duration,
		Peers:         func() []replog.Peer { return alivePeers(member, fleet.Name) },
		RaftLogOutput: libraryLog{},
		Mutations:     replicaMutations(),
	}, nil
}

// alivePeers returns the members other than name whose replicas can be reached.
func alivePeers(member *gossip.Member, name string) (peers []replog.Peer) {
	for _, m := range member.Members() {
		if m.Name != name && m.ReplogAddress != "" && m.Status == quota.Alive {
			peers = append(peers, replog.Peer{Name: m.Name, Addr: m.ReplogAddress, Index: m.LogIndex})
		}
	}
	return peers
}
