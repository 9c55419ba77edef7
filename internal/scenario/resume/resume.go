package resume

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"coralrelay/internal/fake"
	"coralrelay/internal/keyfile"
	"coralrelay/internal/operatorconfig"
	"coralrelay/internal/resumetoken"
	"coralrelay/internal/scenario/testbed"
)

// Options size the scene of moves with resume tokens.
type Options struct {
	Seed                           uint64
	Moves, Nodes, Servers, Clients int
	Binary, Mutation               string
	Progress                       io.Writer
}

// Mutations are the guards that the scenario can switch off.
var Mutations = map[string]string{
	"ledger":          "the node honours a token without asking its arbiter",
	"ledger-volatile": "the arbiter grants without writing",
	"position":        "the node mints a position one too far",
	"epoch":           "servers take a position of any numbering",
	"binding":         "the node honours another client's token",
	"drain":           "the node does not hear that a server drains",
}

const (
	freshnessBound = 2 * time.Second
)

// run is one run.
type run struct {
	Options
	*testbed.Result
	rng       *rand.Rand
	feed      *fake.Feed
	discovery *fake.Discovery
	servers   []*fake.Server
	nodes     testbed.Nodes
	clients   []*fake.Client
	nodeNames []string
	keyFile   string

	mu               sync.Mutex
	keyRing          *resumetoken.KeyRing
	recentTokens     []issuedToken                    // the latest, for those who present them again
	ownerByNonce     map[string]string                // by nonce likewise: the client that was given it
	honoredByNonce   map[string]string                // by nonce in hexadecimal digits: where
	deliveryGaps     *hdrhistogram.Histogram          // microseconds
	setupTimes       map[bool]*hdrhistogram.Histogram // to UP, by whether a token was presented
	streamStartTimes map[bool]*hdrhistogram.Histogram // from UP to the stream's begin, likewise
	pendingFaults    []int                            // the kinds of faults that come next
	nextFaultAt      map[string]time.Time             // a server's or node's next fault, at the earliest
}

type issuedToken struct {
	key, group, token string
	issuedAt          time.Time
}

// Play plays the scene: moves over drains, relief, restarts and kills, while
// listings change, with tokens presented twice, stolen and forged.
func Play(ctx context.Context, options Options) (*testbed.Result, error) {
	result := testbed.NewResult("resume", options.Seed)
	r := &run{Options: options, Result: result, rng: rand.New(rand.NewPCG(options.Seed, 7)), discovery: fake.NewDiscovery(),
		feed:         fake.NewFeed(max(4, options.Clients/8), 30, options.Seed),
		ownerByNonce: map[string]string{}, honoredByNonce: map[string]string{}, nextFaultAt: map[string]time.Time{},
		deliveryGaps: hdrhistogram.New(1, 60_000_000, 3), setupTimes: newHistograms(), streamStartTimes: newHistograms()}
	result.ScaledDown = fmt.Sprintf("all parties on one machine; warm-up 2 s in place of up to 23 s; listings change %d times a second",
		int(time.Second/changeInterval))
	dir, err := os.MkdirTemp("", "coralscenario-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if err := r.start(ctx, dir); err != nil {
		return nil, err
	}
	defer r.discovery.Close()
	defer r.nodes.KillAll()
	if err := r.play(ctx); err != nil {
		return nil, err
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	r.recordMetrics()
	return result, nil
}

func newHistograms() map[bool]*hdrhistogram.Histogram {
	return map[bool]*hdrhistogram.Histogram{false: hdrhistogram.New(1, 60_000_000, 3), true: hdrhistogram.New(1, 60_000_000, 3)}
}

// changeEvery is the pace of changes: each listing of a group changes every few
// seconds, so that a change that was missed stays missed for long enough to see.
const changeInterval = 10 * time.Millisecond

// arrivals is how long the clients take to come at first.
const arrivals = 3 * time.Second

// build makes the parties and starts them.
func (r *run) start(ctx context.Context, dir string) error {
	binary, mutation := r.Binary, ""
	if _, ok := Mutations[r.Mutation]; r.Mutation != "" && !ok {
		return fmt.Errorf("no mutation %q", r.Mutation)
	}
	if r.Mutation != "" && r.Mutation != "epoch" { // epoch is the stand-ins' cheat, all others sit in the node
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
	peers := map[string]string{}
	for i := range r.Nodes {
		name := fmt.Sprintf("n%d", i)
		r.nodeNames = append(r.nodeNames, name)
		addr, err := testbed.Reserve()
		if err != nil {
			return err
		}
		peers[name] = addr
	}
	for i, name := range r.nodeNames {
		config := operatorconfig.Default()
		config.Log.Level = "warn"
		config.Resume.Enabled, config.Resume.Keys = true, r.keyFile
		config.Resume.ReplayGuard.Dir = filepath.Join(dir, name, "ledger")
		config.Resume.ReplayGuard.Listen, config.Resume.ReplayGuard.Peers = peers[name], peers
		discovery, err := r.discovery.Listen(name)
		if err != nil {
			return err
		}
		node, err := testbed.NewNode(testbed.NodeOptions{Binary: binary, Name: name, Dir: filepath.Join(dir, name), Discovery: discovery,
			Number: i, Nodes: r.Nodes, Mutation: mutation, OperatorConfig: &config})
		if err != nil {
			return err
		}
		r.nodes = append(r.nodes, node)
	}
	for i := range r.Servers {
		options := fake.ServerOptions{Name: fmt.Sprintf("s%d", i), Feed: r.feed, Observer: r, History: 200,
			Capacity: max(60, 3*r.Clients/r.Servers), IgnoreEpoch: r.Mutation == "epoch"}
		switch i % 3 {
		case 1:
			options.Lag = 300 * time.Millisecond
		case 2:
			options.History = 2 // it has trimmed what most positions would need
		}
		server := fake.NewServer(options)
		addrs, err := server.Start(r.nodeNames)
		if err != nil {
			return err
		}
		r.servers = append(r.servers, server)
		r.discovery.Set(options.Name, fake.Active, time.Time{}, addrs)
	}
	for _, node := range r.nodes {
		if err := node.Start(ctx); err != nil {
			return err
		}
	}
	return nil
}

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
