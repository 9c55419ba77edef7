package replayguard

import (
	"context"
	"encoding/hex"
	"errors"
	"sync"
	"time"

	"coralrelay/internal/logging"
	"coralrelay/internal/resumetoken"
)

const (
	// statusInterval is how often a peer is asked for its status.
	statusInterval = 500 * time.Millisecond
	// statusTimeout is how long a status counts.
	statusTimeout = 1500 * time.Millisecond
	// reconnectDelay is the pause before a new connection to a peer.
	reconnectDelay = 250 * time.Millisecond
	// dialTimeout is how long a connection may take to be made.
	dialTimeout = time.Second
	// maxPendingRequests is how many requests to one peer may be unanswered.
	maxPendingRequests = 1024
)

// errNotConnected means that there is no connection to the peer, or that it broke before the
// response came. The same request may then be sent again.
var errNotConnected = errors.New("no connection to the peer")

// Peer is the guard of another node. It is usable while Run runs.
type Peer struct {
	Name, Addr string
	ring       func() *resumetoken.KeyRing
	failures   logging.Throttled

	mu         sync.Mutex
	connection *peerConnection // nil while there is none
	status     resumetoken.Candidate
	statusAt   time.Time // when the status came
}

// Run keeps a connection to the peer until ctx ends.
func (p *Peer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := p.connect(ctx); ctx.Err() == nil {
			p.failures.Warn("replay guard peer connection failed", "component", component, "peer", p.Name, "error", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(reconnectDelay):
		}
	}
}

// Candidate returns the peer as an arbiter of new tokens, by its latest status.
func (p *Peer) Candidate(now time.Time) resumetoken.Candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	candidate := p.status
	isCurrent := p.connection != nil && now.Sub(p.statusAt) < statusTimeout
	candidate.IsReady = candidate.IsReady && isCurrent
	return candidate
}

// Spend requests the peer's verdict on a token, once. The verdict is ArbiterUnreachable if ctx
// ends first, the error errNotConnected if there is no connection or it breaks.
func (p *Peer) Spend(ctx context.Context, token string, id resumetoken.RedemptionID) (resumetoken.Verdict, error) {
	reply := make(chan resumetoken.Verdict, 1)
	p.mu.Lock()
	connection := p.connection
	p.mu.Unlock()
	if !p.send(connection, reply, spendMessage, hex.EncodeToString(id[:]), token) {
		return 0, errNotConnected
	}
	select {
	case verdict, ok := <-reply:
		if !ok {
			return 0, errNotConnected
		}
		return verdict, nil
	case <-ctx.Done(): // a late response stays in the channel's buffer
		return resumetoken.ArbiterUnreachable, nil
	}
}
