package fake

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"coralrelay/internal/resumetoken"
)

// NodePicker selects the node for a client's next connection, like a load balancer in front of the
// nodes.
type NodePicker interface {
	// Pick draws a node at random and returns its name and address.
	Pick(rng *rand.Rand) (node, addr string)
	// StoppedSince reports whether a node is down or shutting down, or was stopped after a time. A
	// request that such a node accepted may be lost.
	StoppedSince(node string, since time.Time) bool
}

// ClientObserver receives the events that clients observe.
type ClientObserver interface {
	// AddViolation reports a violation of a rule.
	AddViolation(rule, detail string)
	// Answered reports the final answer to a first line: UP, BUSY or ERR.
	Answered(key, answer string, presented bool, took time.Duration)
	// Moved reports a MOVE with its token; the token is empty if the MOVE has none.
	Moved(key, group, token string)
	// Streaming reports the start of a stream: whether a token was presented, whether the stream was
	// resumed, the time since UP (wait) and the time since the last line of the previous stream (gap).
	Streaming(key string, presented, resumed bool, wait, gap time.Duration)
}

// Client follows the stream of one group and reconnects until its context ends.
type Client struct {
	Key, Group        string
	Class             string
	AnswerTimeout     time.Duration // from connecting until the final answer
	Nodes             NodePicker
	Observer          ClientObserver
	DuplicateShare    float64 // share of the tokens that the client presents on two connections at once
	WithoutResumption bool    // do not request resumption

	rng         *rand.Rand
	connections int

	mu             sync.Mutex
	versions       map[int]uint64 // by listing number
	streamingSince time.Time      // zero while the client has no stream
	lastLineAt     time.Time      // when the client last read a stream start or an update
	position       resumetoken.Position
	hasPosition    bool
}

// Seed seeds the client's random choices, so that they can be repeated.
func (c *Client) Seed(seed, number uint64) { c.rng = rand.New(rand.NewPCG(seed, number)) }

// Versions returns the version that the client has of each listing, and the time at which its current
// stream began, which is zero if it has no stream.
func (c *Client) Versions() (versions map[int]uint64, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.versions), c.streamingSince
}

// Run follows the group until ctx ends.
func (c *Client) Run(ctx context.Context) {
	c.versions = map[int]uint64{}
	for token := ""; ctx.Err() == nil; {
		if token != "" && c.rng.Float64() < c.DuplicateShare {
			token = c.presentTwice(ctx, token)
			continue
		}
		next, backoff := c.connect(ctx, token)
		token = next
		Sleep(ctx, backoff)
	}
}

// presentTwice presents a token on two connections at once, like a client that retried too early. It
// follows its own connection to the end and then closes the duplicate. It returns the next token.
func (c *Client) presentTwice(ctx context.Context, token string) string {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	duplicate := c.duplicate()
	var wg sync.WaitGroup
	wg.Go(func() {
		short, stop := context.WithTimeout(ctx, 2*c.AnswerTimeout)
		defer stop()
		duplicate.connect(short, token)
	})
	next, backoff := c.connect(ctx, token)
	cancel()
	wg.Wait()
	Sleep(ctx, backoff)
	return next
}

// duplicate returns a client with the same state as c.
func (c *Client) duplicate() *Client {
	duplicate := &Client{
		Key: c.Key, Group: c.Group, Class: c.Class, AnswerTimeout: c.AnswerTimeout,
		Nodes: c.Nodes, Observer: c.Observer,
		rng: rand.New(rand.NewPCG(c.rng.Uint64(), 2)),
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	duplicate.position, duplicate.hasPosition = c.position, c.hasPosition
	duplicate.lastLineAt = c.lastLineAt
	duplicate.versions = maps.Clone(c.versions)
	return duplicate
}
