package scenario

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

// ResumeOptions size the scene of moves with resume tokens.
type ResumeOptions struct {
	Seed                           uint64
	Moves, Nodes, Servers, Clients int
	Binary, Mutation               string
	Progress                       io.Writer
}

// ResumeMutations are the guards that the scenario can switch off.
var ResumeMutations = map[string]string{
	"ledger":          "the node honours a token without asking its arbiter",
	"ledger-volatile": "the arbiter grants without writing",
	"position":        "the node mints a position one too far",
	"epoch":           "servers take a position of any numbering",
	"binding":         "the node honours another client's token",
	"drain":           "the node does not hear that a server drains",
}

const (
	freshness = 2 * time.Second
)

// scene is one run.
type scene struct {
	ResumeOptions
	*testbed.Result
	rng     *rand.Rand
	feed    *fake.Feed
	roster  *fake.Discovery
	servers []*fake.Server
	nodes   testbed.Nodes
	clients []*fake.Client
	names   []string
	keys    string

	mu      sync.Mutex
	ring    *resumetoken.KeyRing
	tokens  []shown                          // the latest, for those who present them again
	owners  map[string]string                // by nonce likewise: the client that was given it
	honored map[string]string                // by nonce in hexadecimal digits: where
	gaps    *hdrhistogram.Histogram          // microseconds
	setups  map[bool]*hdrhistogram.Histogram // to UP, by whether a token was presented
	begins  map[bool]*hdrhistogram.Histogram // from UP to the stream's begin, likewise
	deck    []int                            // the kinds of faults that come next
	busy    map[string]time.Time             // a server's or node's next fault, at the earliest
}

type shown struct {
	key, group, token string
	at                time.Time
}

// Resume plays the scene: moves over drains, relief, restarts and kills, while
// listings change, with tokens presented twice, stolen and forged.
func Resume(ctx context.Context, o ResumeOptions) (*testbed.Result, error) {
	r := testbed.NewResult("resume", o.Seed)
	s := &scene{ResumeOptions: o, Result: r, rng: rand.New(rand.NewPCG(o.Seed, 7)), roster: fake.NewDiscovery(),
		feed:   fake.NewFeed(max(4, o.Clients/8), 30, o.Seed),
		owners: map[string]string{}, honored: map[string]string{}, busy: map[string]time.Time{},
		gaps: hdrhistogram.New(1, 60_000_000, 3), setups: twoHistograms(), begins: twoHistograms()}
	r.ScaledDown = fmt.Sprintf("all parties on one machine; warm-up 2 s in place of up to 23 s; listings change %d times a second",
		int(time.Second/changeEvery))
	dir, err := os.MkdirTemp("", "coralscenario-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if err := s.build(ctx, dir); err != nil {
		return nil, err
	}
	defer s.roster.Close()
	defer s.nodes.KillAll()
	if err := s.play(ctx); err != nil {
		return nil, err
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	s.figures()
	return r, nil
}

func twoHistograms() map[bool]*hdrhistogram.Histogram {
	return map[bool]*hdrhistogram.Histogram{false: hdrhistogram.New(1, 60_000_000, 3), true: hdrhistogram.New(1, 60_000_000, 3)}
}

// changeEvery is the pace of changes: each listing of a group changes every few
// seconds, so that a change that was missed stays missed for long enough to see.
const changeEvery = 10 * time.Millisecond

// arrivals is how long the clients take to come at first.
const arrivals = 3 * time.Second

// build makes the parties and starts them.
func (s *scene) build(ctx context.Context, dir string) error {
	binary, mutation := s.Binary, ""
	if _, ok := ResumeMutations[s.Mutation]; s.Mutation != "" && !ok {
		return fmt.Errorf("no mutation %q", s.Mutation)
	}
	if s.Mutation != "" && s.Mutation != "epoch" { // epoch is the stand-ins' cheat, all others sit in the node
		var err error
		if binary, err = testbed.BuildMutated(ctx, dir, "coralrelay"); err != nil {
			return err
		}
		mutation = s.Mutation
	}
	s.keys = filepath.Join(dir, "keys")
	if _, _, err := keyfile.Create(s.keys, time.Now().Add(-time.Second)); err != nil {
		return err
	}
	if err := s.loadKeys(); err != nil {
		return err
	}
	peers := map[string]string{}
	for i := range s.Nodes {
		name := fmt.Sprintf("n%d", i)
		s.names = append(s.names, name)
		addr, err := testbed.Reserve()
		if err != nil {
			return err
		}
		peers[name] = addr
	}
	for i, name := range s.names {
		own := operatorconfig.Default()
		own.Log.Level = "warn"
		own.Resume.Enabled, own.Resume.Keys = true, s.keys
		own.Resume.ReplayGuard.Dir = filepath.Join(dir, name, "ledger")
		own.Resume.ReplayGuard.Listen, own.Resume.ReplayGuard.Peers = peers[name], peers
		discovery, err := s.roster.Listen(name)
		if err != nil {
			return err
		}
		n, err := testbed.NewNode(testbed.NodeOptions{Binary: binary, Name: name, Dir: filepath.Join(dir, name), Discovery: discovery,
			Number: i, Nodes: s.Nodes, Mutation: mutation, OperatorConfig: &own})
		if err != nil {
			return err
		}
		s.nodes = append(s.nodes, n)
	}
	for i := range s.Servers {
		o := fake.ServerOptions{Name: fmt.Sprintf("s%d", i), Feed: s.feed, Observer: s, History: 200,
			Capacity: max(60, 3*s.Clients/s.Servers), IgnoreEpoch: s.Mutation == "epoch"}
		switch i % 3 {
		case 1:
			o.Lag = 300 * time.Millisecond
		case 2:
			o.History = 2 // it has trimmed what most positions would need
		}
		v := fake.NewServer(o)
		addrs, err := v.Start(s.names)
		if err != nil {
			return err
		}
		s.servers = append(s.servers, v)
		s.roster.Set(o.Name, fake.Active, time.Time{}, addrs)
	}
	for _, n := range s.nodes {
		if err := n.Start(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (s *scene) loadKeys() error {
	ring, err := keyfile.Load(s.keys)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.ring = ring
	s.mu.Unlock()
	return nil
}
