// Package resume plays the scenario of clients that migrate with resume tokens: servers drain,
// are overloaded and crash, nodes restart and crash, and meanwhile listings change and tokens
// are replayed, stolen and corrupted. It checks from the fakes' side that a token is honoured
// once and for its owner alone, that no client misses a change, and that nothing new reaches a
// server that drains.
//
// Play owns all goroutines, processes and fake servers; its goroutines and nodes have ended when
// it returns.
package resume

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"coralrelay/internal/fake"
	"coralrelay/internal/resumetoken"
	"coralrelay/internal/scenario/testbed"
)

// Options size the scenario.
type Options struct {
	Seed             uint64
	Moves            int // of clients, in all: the run ends after them
	Nodes            int
	Servers          int
	Clients          int
	Binary, Mutation string    // the node's binary; a key of Mutations or empty
	Progress         io.Writer // nil for none
}

// Mutations are the guards that the scenario can switch off. All but mutationEpoch are in the
// node.
var Mutations = map[string]string{
	"ledger":          "the node honours a token without asking its arbiter",
	"ledger-volatile": "the arbiter grants without writing",
	"position":        "the node mints a position one too far",
	mutationEpoch:     "servers take a position of any numbering",
	"binding":         "the node honours another client's token",
	"drain":           "the node does not hear that a server drains",
}

// mutationEpoch is a fault of the fake servers.
const mutationEpoch = "epoch"

// run is one run of the scenario.
type run struct {
	Options
	*testbed.Result
	rng           *rand.Rand // the script's; it is used by injectFault alone
	feed          *fake.Feed
	discovery     *fake.Discovery
	servers       []*fake.Server
	nodes         testbed.Nodes
	clients       []*fake.Client
	nodeNames     []string
	keyFile       string
	pendingFaults []int // the kinds of faults that come next

	mu               sync.Mutex
	keyRing          *resumetoken.KeyRing
	recentTokens     []issuedToken           // the latest, for presentBadTokens
	ownerByNonce     map[string]string       // nonce in hexadecimal digits: the client that was given the token
	honoredByNonce   map[string]string       // nonce likewise: the server and node that honoured it
	deliveryGaps     *hdrhistogram.Histogram // microseconds
	setupTimes       histograms              // until the answer UP
	streamStartTimes histograms              // from the answer UP to the stream's begin
	nextFaultAt      map[string]time.Time    // by server, node or kind of fault: at the earliest
}

// Play plays the scenario. The result holds what broke; an error says that it could not run.
func Play(ctx context.Context, options Options) (*testbed.Result, error) {
	if err := testbed.CheckMutation(Mutations, options.Mutation); err != nil {
		return nil, err
	}
	r := newRun(options)
	dir, remove, err := testbed.TempDir()
	if err != nil {
		return nil, err
	}
	defer remove()
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
	return r.Result, nil
}

func newRun(options Options) *run {
	result := testbed.NewResult("resume", options.Seed)
	result.ScaledDown = fmt.Sprintf(
		"all parties on one machine; warm-up 2 s in place of up to 23 s; listings change %d times a second",
		int(time.Second/changeInterval))
	return &run{
		Options:          options,
		Result:           result,
		rng:              rand.New(rand.NewPCG(options.Seed, 7)),
		feed:             fake.NewFeed(max(4, options.Clients/8), 30, options.Seed),
		discovery:        fake.NewDiscovery(),
		ownerByNonce:     map[string]string{},
		honoredByNonce:   map[string]string{},
		deliveryGaps:     newHistogram(),
		setupTimes:       newHistograms(),
		streamStartTimes: newHistograms(),
		nextFaultAt:      map[string]time.Time{},
	}
}
