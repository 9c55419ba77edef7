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

// startReplica opens this agent's replica of the log, stores it in options.Log and runs it until
// ctx ends.
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
			slog.Error(
				"replicated log ended, the agent acts on its last state and on its node's observations",
				"component", component, "error", err)
		}
	})
	return nil
}

// replicaOptions returns the replica's options, with the key that it reads from the fleet's key file
// and the decoded root key.
func replicaOptions(fleet operatorconfig.Fleet, member *gossip.Member) (replog.Options, error) {
	key, err := gossip.ReadKey(fleet.KeyFile)
	if err != nil {
		return replog.Options{}, err
	}
	logConfig := fleet.ReplicatedLog
	rootKey, err := logConfig.DecodeRootKey()
	if err != nil {
		return replog.Options{}, err
	}
	var voters []replog.Voter
	for _, voter := range logConfig.Voters {
		voters = append(voters, replog.Voter(voter))
	}
	return replog.Options{
		Name:      fleet.Name,
		Zone:      fleet.Zone,
		Dir:       logConfig.Dir,
		Bind:      logConfig.Bind,
		Advertise: logConfig.Advertise,
		Voters:    voters,
		Key:       key,
		Genesis: logentry.Genesis{
			RootKey:        rootKey,
			Zones:          fleet.Zones.Config(),
			DisabledChecks: disabledAccountChecks(),
		},
		Lease:         logConfig.Lease.Duration,
		Peers:         func() []replog.Peer { return alivePeers(member, fleet.Name) },
		RaftLogOutput: libraryLog{},
		Mutations:     replicaMutations(),
	}, nil
}

// alivePeers returns the members that are alive and serve a replica of the log, without the member
// called name.
func alivePeers(member *gossip.Member, name string) (peers []replog.Peer) {
	for _, m := range member.Members() {
		if m.Name != name && m.ReplogAddress != "" && m.Status == quota.Alive {
			peers = append(peers, replog.Peer{Name: m.Name, Addr: m.ReplogAddress, Index: m.LogIndex})
		}
	}
	return peers
}
