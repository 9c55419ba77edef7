package testbed

import (
	"os"
	"time"

	"coralrelay/internal/fake"
)

// What scenarios share that run without a Testbed: single nodes beside fake servers.

// TempDir makes a folder for one run; remove deletes it with all that it holds.
func TempDir() (dir string, remove func(), err error) {
	if dir, err = os.MkdirTemp("", "coralscenario-"); err != nil {
		return "", nil, err
	}
	return dir, func() { _ = os.RemoveAll(dir) }, nil
}

// StartWarmServer starts a fake server for the named nodes and lists it as one that has been
// running for long. It returns its address as each node reaches it.
func StartWarmServer(discovery *fake.Discovery, options fake.ServerOptions, nodes []string) (
	server *fake.Server, addrs map[string]string, err error) {
	server = fake.NewServer(options)
	if addrs, err = server.Start(nodes); err != nil {
		return nil, nil, err
	}
	discovery.Set(server.Name, fake.Active, time.Time{}, addrs)
	return server, addrs, nil
}
