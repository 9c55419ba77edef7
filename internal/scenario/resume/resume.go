// Package resume runs the scenario of clients that migrate with resume tokens: servers drain,
// are overloaded and crash, nodes restart and crash, and meanwhile listings change and tokens
// are replayed, stolen and corrupted. It checks at the fake servers and clients that a token is
// honoured at most once and only for its owner, that no client misses a change, and that no new
// session reaches a draining server.
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

// Options configures the scenario.
type Options struct {
	Seed             uint64
	Moves            int // total number of client moves, after which the run ends
	Nodes            int
	Servers          int
	Clients          int
	Binary, Mutation string    // path of the node's binary; a key of Mutations, or empty
	Progress         io.Writer // nil for none
}

// Mutations maps each guard that the scenario can disable to the resulting behaviour. All guards
// except mutationEpoch are in the node.
var Mutations = map[string]string{
	"ledger":          "the node honours a token without asking its arbiter",
	"ledger-volatile": "the arbiter grants a token without writing to its ledger",
	"position":        "the node issues tokens with a position that is one too high",
	mutationEpoch:     "servers accept positions of any epoch",
	"binding":         "the node honours a token that was issued to another client",
	"drain":           "the node ignores that a server drains",
}

// mutationEpoch is the mutation that applies to the fake servers instead of the node.
const mutationEpoch = "epoch"

// run is one run of the scenario.
type run struct {
	Options
	*testbed.Result
	rng           *rand.Rand // used only to inject faults
	feed          *fake.Feed
	discovery     *fake.Discovery
	servers       []*fake.Server
	nodes         testbed.Nodes
	clients       []*fake.Client
	nodeNames     []string
	keyFile       string
	pendingFaults []int // the remaining slots of this round

	mu               sync.Mutex
	keyRing          *resumetoken.KeyRing
	recentTokens     []issuedToken           // oldest first, for presentBadTokens
	ownerByNonce     map[string]string       // client that the token was issued to, by hexadecimal nonce
	honoredByNonce   map[string]string       // server and node that honoured the token, by hexadecimal nonce
	deliveryGaps     *hdrhistogram.Histogram // microseconds
	setupTimes       histograms              // from the first line to the answer UP
	streamStartTimes histograms              // from the answer UP to the start of the stream
	nextFaultAt      map[string]time.Time    // earliest time, by server, node or kind of fault
}

// Play runs the scenario. The result holds the violations; an error means that it could not run.
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
	if err := r.runScript(ctx); err != nil {
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
