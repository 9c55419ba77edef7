package replayguard

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"coralrelay/internal/resumetoken"
)

// testCluster is a cluster of nodes n0, n1 and so on, each of which has all others as peers.
type testCluster struct {
	services []*Service
	guards   []*Guard
	stops    []func()
	addrs    []string
}

// testConfig returns a configuration with enough time for the arbiters to respond.
func testConfig(keyRing *resumetoken.KeyRing) ServiceConfig {
	return ServiceConfig{
		KeyRing:        keyRing,
		TokenLifetime:  time.Minute,
		ClockSkew:      time.Second,
		ArbiterTimeout: 5 * time.Second,
	}
}

func startTestCluster(t testing.TB, size int, config ServiceConfig) *testCluster {
	t.Helper()
	cluster := &testCluster{}
	peers := map[string]string{}
	var listeners []net.Listener
	for i := range size {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, listener)
		cluster.addrs = append(cluster.addrs, listener.Addr().String())
		peers[nodeName(i)] = listener.Addr().String()
	}
	for i, listener := range listeners {
		cluster.startNode(t, nodeName(i), listener, config, peers)
	}
	cluster.waitUntilReady(t, size-1)
	return cluster
}

func nodeName(number int) string { return fmt.Sprintf("n%d", number) }

func (c *testCluster) startNode(
	t testing.TB, name string, listener net.Listener, config ServiceConfig, peers map[string]string,
) {
	t.Helper()
	guard, _ := startGuard(t, Options{Dir: t.TempDir(), MaxRecords: 1 << 20})
	service := NewService(name, guard, config, peers)
	server := &Server{Name: name, Guard: guard, KeyRing: service.KeyRing}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = server.Serve(ctx, listener) })
	wg.Go(func() { service.Run(ctx) })
	stop := func() { cancel(); wg.Wait() }
	t.Cleanup(stop)
	c.services = append(c.services, service)
	c.guards = append(c.guards, guard)
	c.stops = append(c.stops, stop)
}

// waitUntilReady waits until every node has at least the given number of ready peers.
func (c *testCluster) waitUntilReady(t testing.TB, peers int) {
	t.Helper()
	for startedAt := time.Now(); ; time.Sleep(time.Millisecond) {
		missing := 0
		for _, service := range c.services {
			missing += max(0, peers-countReadyPeers(service))
		}
		if missing == 0 {
			return
		}
		if time.Since(startedAt) > 10*time.Second {
			t.Fatal("peers were not ready within 10 s")
		}
	}
}

func countReadyPeers(service *Service) (count int) {
	for _, peer := range service.peers {
		if peer.Candidate(time.Now()).IsReady {
			count++
		}
	}
	return count
}

// mint mints a token at a node for the client that redeem uses.
func (c *testCluster) mint(node int, offset uint64) string {
	return c.services[node].Mint("k", "g", resumetoken.Position{Epoch: 1, Offset: offset})
}

func (c *testCluster) redeem(node int, token string) resumetoken.Outcome {
	return c.services[node].Redeem(context.Background(), presentationOf(token))
}

func presentationOf(token string) resumetoken.Presentation {
	return resumetoken.Presentation{Token: token, FlowKey: "k", Group: "g"}
}

// A token that is presented concurrently at all nodes is granted exactly once, whichever node is
// its arbiter.
func TestGrantsOnceAcrossNodes(t *testing.T) {
	cluster := startTestCluster(t, 3, testConfig(newTestKeyRing(t, "a", "b")))
	cluster.services[1].BeginDraining() // from now on it chooses peers as arbiters
	for round := range 30 {
		offset := uint64(round)
		token := cluster.mint(round%2, offset)
		var resumed, spent atomic.Int32
		var wg sync.WaitGroup
		for i := range 9 {
			wg.Go(func() {
				outcome := cluster.redeem(i%3, token)
				if outcome.CanResume {
					resumed.Add(1)
				}
				isSpent := outcome.HasMinPosition && outcome.Verdict == resumetoken.Spent
				if isSpent && outcome.Position.Offset == offset {
					spent.Add(1)
				}
			})
		}
		wg.Wait()
		if resumed.Load() != 1 || spent.Load() != 8 {
			t.Fatalf("round %d: %d redemptions granted, %d rejected as spent",
				round, resumed.Load(), spent.Load())
		}
	}
}

// If the arbiter of a token is unreachable, the redemption ends in bounded time without a grant, and
// the token stays unspent.
func TestUnreachableArbiterEndsInBoundedTime(t *testing.T) {
	config := testConfig(newTestKeyRing(t, "a"))
	config.ArbiterTimeout = 150 * time.Millisecond
	cluster := startTestCluster(t, 2, config)
	token := cluster.mint(0, 7)
	cluster.stops[0]()
	startedAt := time.Now()
	outcome := cluster.redeem(1, token)
	isUnreachable := !outcome.CanResume && outcome.Verdict == resumetoken.ArbiterUnreachable
	if !isUnreachable || !outcome.HasMinPosition || outcome.Position.Offset != 7 {
		t.Errorf("%+v", outcome)
	}
	if took := time.Since(startedAt); took > 5*time.Second {
		t.Errorf("the redemption took %v", took)
	}
	// A draining node without ready peers is the arbiter of its tokens if its guard is durable.
	cluster.services[1].BeginDraining()
	if cluster.mint(1, 0) == "" {
		t.Error("a draining node with a durable guard minted no token")
	}
	if outcome := cluster.redeem(0, token); !outcome.CanResume {
		t.Errorf("redemption at the arbiter: %+v", outcome)
	}
	config.ClockSkew, config.ArbiterTimeout = 0, 20*time.Millisecond
	withoutPeers := NewService("n9", cluster.guards[0], config, nil)
	outcome = withoutPeers.Redeem(context.Background(), presentationOf(token))
	if outcome.Verdict != resumetoken.ArbiterUnreachable {
		t.Errorf("redemption of a token whose arbiter is not a peer: %+v", outcome)
	}
}
