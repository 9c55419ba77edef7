package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"coralrelay/internal/config"
	"coralrelay/internal/fake"
	"coralrelay/internal/loopback"
	"coralrelay/internal/operatorconfig"
	"coralrelay/internal/testsocket"
)

// testTimeout bounds every wait: no test waits this long unless it fails.
const testTimeout = 10 * time.Second

const settingsJSON = `{"classes":[{"name":"feed","objective":0.3,"deadline":1.2,"effect":"read_like"}],
"domain":{"groups":true,"messageAim":[0.06],"mode":"proxy"},"granularity":0.004,"nInstances":1,
"guarantees":{"askWithin":10,"coldFrom":0.12,"drainGrace":0.3,"graceToAnswer":0.016,"rampTime":23,
"tipAfter":1.5,"tipMultiple":3},
"limits":{"connectTimeout":0.25,"maxRetryAfter":1,"mostTries":6,"probing":true,"retryAfter":true},
"registryMode":"on_request","report":{"via":"probe"},"weights":"rough","zone":"a"}`

// fleetSettings returns settingsJSON for a fleet with the given number of instances.
func fleetSettings(instances int) string {
	return strings.Replace(settingsJSON, `"nInstances":1`, fmt.Sprintf(`"nInstances":%d`, instances), 1)
}

// writeConfig writes a node's configuration file, which lists one endpoint, or none if upstreamAddr is empty.
func writeConfig(t *testing.T, path, addr, discovery, upstreamAddr string, sockets int) {
	t.Helper()
	raw := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1,"memory_mb":64,"sockets":%d},"settings":%s,"known":{"generation":1,"reset":true,"instances":[
		{"instanceId":"s1","hostPort":%q,"zone":"a","lifecycle":"active","weight":1,"startedAtMs":0}]}}`,
		addr, discovery, sockets, settingsJSON, upstreamAddr)
	if upstreamAddr == "" {
		raw = raw[:strings.Index(raw, `,"known"`)] + "}"
	}
	if err := os.WriteFile(path, []byte(raw), 0o600); err != nil {
		t.Fatal(err)
	}
}

// freeAddr returns an unused address. No two calls return the same one.
func freeAddr(t *testing.T) string {
	t.Helper()
	addr, err := loopback.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

// serveUpstream returns a handler that answers as an upstream does and counts the first lines.
func serveUpstream(firstLines *atomic.Int32) func(net.Conn) {
	return serveUpstreamWithHook(func() { firstLines.Add(1) })
}

// serveUpstreamWithHook returns a handler that answers as an upstream does and calls onFirstLine at each
// first line.
func serveUpstreamWithHook(onFirstLine func()) func(net.Conn) {
	return func(conn net.Conn) {
		for lines := bufio.NewScanner(conn); lines.Scan(); {
			answer := "yes"
			switch command, _, _ := strings.Cut(lines.Text(), " "); command {
			case "STATS":
				answer = "PONG outstanding=1,x0=0.1,recent_ms=2"
			case "OPEN":
				onFirstLine()
				answer = "UP r1"
			}
			fmt.Fprintf(conn, "%s\r\n", answer)
		}
	}
}

// startDiscovery starts a discovery that lists one endpoint.
func startDiscovery(t *testing.T, upstreamAddr string) string {
	t.Helper()
	fakeDiscovery := fake.NewDiscovery()
	fakeDiscovery.Set("s1", fake.Active, time.Time{}, map[string]string{"n0": upstreamAddr})
	addr, err := fakeDiscovery.Listen("n0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fakeDiscovery.Close)
	return addr
}

// awaitListening waits until the node accepts clients.
func awaitListening(t *testing.T, addr string) {
	t.Helper()
	for start := time.Now(); ; {
		if conn, err := net.Dial("tcp", addr); err == nil {
			conn.Close()
			return
		} else if time.Since(start) > testTimeout {
			t.Fatal(err)
		}
	}
}

// startNode starts a node with one configured endpoint. It returns the node's address, a function that
// terminates the node, and a channel that receives the result of serve.
func startNode(
	t *testing.T, upstreamAddr string, sockets int,
) (addr string, terminate context.CancelFunc, done <-chan error) {
	t.Helper()
	addr, terminate, done = startServe(t, upstreamAddr, sockets, operatorconfig.Default())
	t.Cleanup(terminate)
	return addr, terminate, done
}

// startServe is like startNode with an operator's file, but the caller has to terminate the node. The node's
// discovery accepts calls and never answers.
func startServe(
	t *testing.T, upstreamAddr string, sockets int, operatorFile operatorconfig.File,
) (addr string, terminate context.CancelFunc, done <-chan error) {
	t.Helper()
	discovery := testsocket.Serve(t, func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) })
	addr = freeAddr(t)
	path := filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, path, addr, discovery, upstreamAddr, sockets)
	cfg, err := config.Load(func(name string) string { return map[string]string{"BALANCER_CONFIG": path}[name] })
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- serve(ctx, nil, cfg, operatorFile, "") }()
	awaitListening(t, addr)
	return addr, cancel, ended
}
