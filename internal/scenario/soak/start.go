package soak

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"coralrelay/internal/fake"
	"coralrelay/internal/scenario/faultproxy"
)

// start starts the servers, the proxy, discovery and all nodes.
func (r *run) start(ctx context.Context) error {
	r.proxy, r.discovery = faultproxy.New(r.Options.Seed), fake.NewDiscovery()
	for number := range r.Nodes {
		n, err := r.newNode(number)
		if err != nil {
			return err
		}
		r.nodes = append(r.nodes, n)
	}
	for number := range r.Servers {
		s := newServer(r, number)
		if err := s.start(); err != nil {
			return err
		}
		r.servers = append(r.servers, s)
		if err := r.listServer(s); err != nil {
			return err
		}
	}
	var group errgroup.Group
	for _, n := range r.nodes {
		group.Go(func() error {
			_, err := n.start(ctx)
			return err
		})
	}
	return group.Wait()
}

// listServer opens a proxy address of the server for each node, and lists the server as one that
// has been running for a long time and is warm.
func (r *run) listServer(s *server) (err error) {
	addrs := map[string]string{}
	for _, n := range r.nodes {
		name := nodeName(n.number)
		if addrs[name], err = r.proxy.AddFor(name, s.name(), s.addr, r.proxyHost(3)); err != nil {
			return err
		}
	}
	s.addrs = addrs
	r.discovery.Set(s.name(), fake.Active, time.Time{}, addrs)
	return nil
}
