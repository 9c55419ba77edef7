// Package loopback has addresses for scenarios and tests that start real processes. Each process that uses
// it has an IP of its own, so that those which run side by side do not take over one another's ports.
package loopback

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync/atomic"
)

// The ports that are given: all below the ephemeral ones, which the system gives to connections and listeners
// meanwhile.
const lowestPort, ephemeralPort = 12_000, 32_000

// maxTries bounds the ports that are tried for one address.
const maxTries = 100

// given counts the ports that were given, from a start of its own in each process. Each comes once before any
// comes again: whoever has one need not listen yet.
var given = func() *atomic.Int64 {
	var count atomic.Int64
	count.Store(rand.Int64N(ephemeralPort - lowestPort))
	return &count
}()

// Listen opens a TCP listener on an address that was not given before.
func Listen() (listener net.Listener, err error) {
	for range maxTries {
		port := lowestPort + int(given.Add(1))%(ephemeralPort-lowestPort)
		if listener, err = net.Listen("tcp", fmt.Sprintf("%s:%d", processIP(), port)); err == nil {
			return listener, nil
		}
	}
	return nil, fmt.Errorf("no free port in %d tries: %w", maxTries, err)
}

// Reserve returns an address that was not given before and on which nobody listens.
func Reserve() (addr string, err error) {
	listener, err := Listen()
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

// processIP is a loopback IP of this process, by its number.
func processIP() string {
	const firstNet, nets, hosts = 64, 128, 250
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.1", firstNet+pid%nets, 1+pid/nets%hosts)
}
