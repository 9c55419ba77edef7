package testbed

import (
	"os"
	"time"

	"coralrelay/internal/fake"
)

// The functions in this file serve scenarios that run single nodes and fake servers without a Testbed.

// TempDir creates a directory for one run. The function remove deletes it with its contents.
func TempDir() (dir string, remove func(), err error) {
	if dir, err = os.MkdirTemp("", "coralscenario-"); err != nil {
		return "", nil, err
	}
	return dir, func() { _ = os.RemoveAll(dir) }, nil
}

// StartWarmServer starts a fake server for the named nodes and adds it to the endpoint list as a warm
// server. It returns the server's addresses by node.
func StartWarmServer(discovery *fake.Discovery, options fake.ServerOptions, nodes []string) (
	server *fake.Server, addrs map[string]string, err error) {
	server = fake.NewServer(options)
	if addrs, err = server.Start(nodes); err != nil {
		return nil, nil, err
	}
	discovery.Set(server.Name, fake.Active, time.Time{}, addrs)
	return server, addrs, nil
}
