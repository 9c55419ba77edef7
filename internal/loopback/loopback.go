// Package loopback allocates loopback addresses for scenarios and tests that start real processes.
// Each process that uses it has an IP address of its own, so that concurrent processes do not reuse
// each other's ports.
package loopback

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync/atomic"
)

// Allocated ports are below the ephemeral range, from which the system assigns ports to other
// connections and listeners at the same time.
const lowestPort, ephemeralPort = 12_000, 32_000

// maxTries is the maximum number of ports tried for one address.
const maxTries = 100

// allocated counts the allocated ports, from a random offset in each process. A port is reused only
// after all others were allocated, so that a reserved port stays free until its owner listens.
var allocated = func() *atomic.Int64 {
	var count atomic.Int64
	count.Store(rand.Int64N(ephemeralPort - lowestPort))
	return &count
}()

// Listen opens a TCP listener on an address of this process that was not allocated before.
func Listen() (net.Listener, error) { return ListenOn(processIP()) }

// ListenOn opens a TCP listener on an IP address that other processes may use too, with a port that this
// process has not allocated before.
func ListenOn(ip string) (listener net.Listener, err error) {
	for range maxTries {
		port := lowestPort + int(allocated.Add(1))%(ephemeralPort-lowestPort)
		if listener, err = net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port)); err == nil {
			return listener, nil
		}
	}
	return nil, fmt.Errorf("no free port in %d tries: %w", maxTries, err)
}

// Reserve returns an address that was not allocated before and on which nothing listens.
func Reserve() (addr string, err error) {
	listener, err := Listen()
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

// processIP returns a loopback IP address derived from the process ID.
func processIP() string {
	const firstNet, nets, hosts = 64, 128, 250
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.1", firstNet+pid%nets, 1+pid/nets%hosts)
}
