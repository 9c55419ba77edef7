package resume

import (
	"context"
	"fmt"
	"path/filepath"
	"time"

	"coralrelay/internal/fake"
	"coralrelay/internal/keyfile"
	"coralrelay/internal/loopback"
	"coralrelay/internal/operatorconfig"
	"coralrelay/internal/scenario/testbed"
)

// start creates the key file, and starts the fake servers and then the nodes.
func (r *run) start(ctx context.Context, dir string) error {
	binary, mutation := r.Binary, ""
	if r.Mutation != "" && r.Mutation != mutationEpoch {
		var err error
		if binary, err = testbed.BuildMutated(ctx, dir, "coralrelay"); err != nil {
			return err
		}
		mutation = r.Mutation
	}
	r.keyFile = filepath.Join(dir, "keys")
	if _, _, err := keyfile.Create(r.keyFile, time.Now().Add(-time.Second)); err != nil {
		return err
	}
	if err := r.loadKeyRing(); err != nil {
		return err
	}
	if err := r.addNodes(dir, binary, mutation); err != nil {
		return err
	}
	if err := r.startServers(); err != nil {
		return err
	}
	for _, node := range r.nodes {
		if err := node.Start(ctx); err != nil {
			return err
		}
	}
	return nil
}

// addNodes writes the files of all nodes, which are each other's peers in the replay guard.
func (r *run) addNodes(dir, binary, mutation string) error {
	peers := map[string]string{}
	for i := range r.Nodes {
		name := fmt.Sprintf("n%d", i)
		r.nodeNames = append(r.nodeNames, name)
		addr, err := loopback.Reserve()
		if err != nil {
			return err
		}
		peers[name] = addr
	}
	for i, name := range r.nodeNames {
		config := operatorconfig.Default()
		config.Log.Level = "warn"
		config.Resume.Enabled = true
		config.Resume.KeyDir = r.keyFile
		config.Resume.ReplayGuard.Dir = filepath.Join(dir, name, "ledger")
		config.Resume.ReplayGuard.Listen = peers[name]
		config.Resume.ReplayGuard.Peers = peers
		discovery, err := r.discovery.Listen(name)
		if err != nil {
			return err
		}
		node, err := testbed.NewNode(testbed.NodeOptions{
			Binary:         binary,
			Name:           name,
			Dir:            filepath.Join(dir, name),
			Discovery:      discovery,
			Number:         i,
			Nodes:          r.Nodes,
			Mutation:       mutation,
			OperatorConfig: &config,
		})
		if err != nil {
			return err
		}
		r.nodes = append(r.nodes, node)
	}
	return nil
}

// startServers starts the fake servers. Of each three, one lags behind the feed and one keeps
// almost no history.
func (r *run) startServers() error {
	for i := range r.Servers {
		options := fake.ServerOptions{
			Name:        fmt.Sprintf("s%d", i),
			Feed:        r.feed,
			Observer:    r,
			History:     200,
			Capacity:    max(60, 3*r.Clients/r.Servers),
			IgnoreEpoch: r.Mutation == mutationEpoch,
		}
		switch i % 3 {
		case 1:
			options.Lag = 300 * time.Millisecond
		case 2:
			options.History = 2 // too short to resume from most positions
		}
		server, _, err := testbed.StartWarmServer(r.discovery, options, r.nodeNames)
		if err != nil {
			return err
		}
		r.servers = append(r.servers, server)
	}
	return nil
}

// loadKeyRing reads the key file; its keys open the tokens that clients receive.
func (r *run) loadKeyRing() error {
	ring, err := keyfile.Load(r.keyFile)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.keyRing = ring
	r.mu.Unlock()
	return nil
}
