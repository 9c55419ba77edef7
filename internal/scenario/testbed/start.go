package testbed

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"

	"coralrelay/internal/operatorconfig"
)

// keySize is the size of the fleet's key, in bytes.
const keySize = 32

// start starts the servers, and then each agent followed by its node.
func (bed *Testbed) start(ctx context.Context) error {
	if err := bed.writeKeyFile(); err != nil {
		return err
	}
	bed.Fleet = operatorconfig.Default().Fleet
	bed.Fleet.KeyFile = bed.KeyFile
	bed.Fleet.RetryRatio = bed.RetryRatio
	bed.Fleet.HolderTimeout.Duration = bed.LeaseTimeout
	bed.Fleet.QuotaPeriod.Duration = bed.BudgetWindow
	var configs []operatorconfig.File // by node
	for i := range bed.Options.Nodes {
		name := fmt.Sprintf("n%d", i)
		bed.Names = append(bed.Names, name)
		bed.placeInZone(name, i)
		config, err := bed.newMemberConfig(name, i)
		if err != nil {
			return err
		}
		configs = append(configs, config)
	}
	for i := range bed.Options.Servers {
		if _, err := bed.Join(fmt.Sprintf("s%d", i), bed.Zones[i%len(bed.Zones)], false); err != nil {
			return err
		}
	}
	for i, name := range bed.Names {
		bed.completeConfig(name, &configs[i])
		if err := bed.startNode(ctx, name, i, &configs[i]); err != nil {
			return err
		}
	}
	return nil
}

// completeConfig adds the peers, the voters and the options of the scenario to a member's configuration.
// The peers and voters are complete only after newMemberConfig was called for all members.
func (bed *Testbed) completeConfig(name string, config *operatorconfig.File) {
	if bed.WithoutAgents {
		return
	}
	config.Fleet.Peers = bed.gossipAddresses
	config.Fleet.ReplicatedLog.Voters = bed.Fleet.ReplicatedLog.Voters
	if bed.OperatorConfig != nil {
		bed.OperatorConfig(name, config)
	}
}

// writeKeyFile generates the fleet's key and writes it to a file.
func (bed *Testbed) writeKeyFile() error {
	key := make([]byte, keySize)
	if _, err := rand.Read(key); err != nil {
		return err
	}
	bed.KeyFile = filepath.Join(bed.Dir, "fleet.key")
	return os.WriteFile(bed.KeyFile, []byte(hex.EncodeToString(key)+"\n"), 0o600)
}

// startNode starts the agent of a node, unless the testbed has none, and then the node.
func (bed *Testbed) startNode(ctx context.Context, name string, number int, config *operatorconfig.File) error {
	discovery, err := bed.Discovery.Listen(name)
	if err != nil {
		return err
	}
	node, err := NewNode(NodeOptions{
		Binary:         bed.Binary,
		Name:           name,
		Dir:            filepath.Join(bed.Dir, name),
		Discovery:      discovery,
		Number:         number,
		Nodes:          bed.Options.Nodes,
		OperatorConfig: config,
		Mutation:       bed.Mutation,
		Ramp:           int(bed.Ramp.Seconds()),
		Zone:           bed.Zone(name),
	})
	if err != nil {
		return err
	}
	if !bed.WithoutAgents {
		agent := bed.newAgent(node, config)
		if err := agent.Start(); err != nil {
			return err
		}
		bed.Agents[name] = agent
	}
	bed.Nodes = append(bed.Nodes, node)
	return node.Start(ctx)
}
