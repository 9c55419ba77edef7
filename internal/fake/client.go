package fake

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"coralrelay/internal/resumetoken"
)

// NodePicker picks the node for a client's next connection, as the load balancer in front of the
// nodes would.
type NodePicker interface {
	// Pick draws a node and returns its name and address.
	Pick(rng *rand.Rand) (node, addr string)
	// StoppedSince reports whether a node was killed, or is ending, since a time: a request that it
	// accepted then may be lost.
	StoppedSince(node string, since time.Time) bool
}

// ClientObserver is notified of what clients see.
type ClientObserver interface {
	// AddViolation reports that a rule was broken.
	AddViolation(rule, detail string)
	// Answered reports the final answer to a first line: UP, BUSY or ERR.
	Answered(key, answer string, presented bool, took time.Duration)
	// Moved reports a MOVE with its token, which is empty if it has none.
	Moved(key, group, token string)
	// Streaming reports that a stream has begun: whether a token was presented and honoured, how
	// long after UP, and how long after the last line of the stream before.
	Streaming(key string, presented, resumed bool, wait, gap time.Duration)
}

// Client follows one group, for as long as it runs.
type Client struct {
	Key, Group        string
	Class             string
	AnswerTimeout     time.Duration // until the final answer
	Nodes             NodePicker
	Observer          ClientObserver
	DuplicateShare    float64 // the share of the tokens that it presents at two nodes at once
	WithoutResumption bool    // it does not ask for resumption

	rng         *rand.Rand
	connections int

	mu             sync.Mutex
	versions       map[int]uint64 // by listing
	streamingSince time.Time      // zero while it has no stream
	lastLineAt     time.Time      // its latest line of a stream
	position       resumetoken.Position
	hasPosition    bool
}

// Seed makes the client's choices repeatable.
func (c *Client) Seed(seed, number uint64) { c.rng = rand.New(rand.NewPCG(seed, number)) }

// Versions returns the version that the client has of each listing, and since when its present
// stream lasts: zero if it has none.
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

// presentTwice presents a token at two nodes at once, as a client does that has retried too early.
// It follows its own connection to the end, and then closes the other. It returns the next token.
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

// duplicate returns a client that has seen the same as c.
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
