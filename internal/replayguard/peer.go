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
	// statusInterval is the interval between requests for the status of a peer.
	statusInterval = 500 * time.Millisecond
	// statusTimeout is how long a status is current after it was received.
	statusTimeout = 1500 * time.Millisecond
	// reconnectDelay is the delay before a peer is dialed again.
	reconnectDelay = 250 * time.Millisecond
	// dialTimeout is how long dialing a peer may take.
	dialTimeout = time.Second
	// maxPendingRequests is the maximum number of unanswered requests to one peer.
	maxPendingRequests = 1024
)

// errNotConnected means that a request could not be sent to the peer, or that the connection
// ended before the response. The request may be repeated.
var errNotConnected = errors.New("no connection to the peer")

// Peer requests verdicts and the status from the guard of another node. It is connected only while
// Run runs.
type Peer struct {
	Name, Addr     string
	currentKeyRing func() *resumetoken.KeyRing
	connectionLog  logging.Throttled

	mu         sync.Mutex
	connection *peerConnection // nil if there is none
	status     resumetoken.Candidate
	statusAt   time.Time // when the status was received
}

// Run keeps a connection to the peer until ctx ends. It reconnects after each failure.
func (p *Peer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := p.connect(ctx); ctx.Err() == nil {
			p.connectionLog.Warn("replay guard peer connection failed", "component", component,
				"peer", p.Name, "error", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(reconnectDelay):
		}
	}
}

// Candidate returns the peer as a candidate for the arbiter of new tokens, according to its latest
// status. It is ready only if it is connected and the status is current.
func (p *Peer) Candidate(now time.Time) resumetoken.Candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	candidate := p.status
	isCurrent := p.connection != nil && now.Sub(p.statusAt) < statusTimeout
	candidate.IsReady = candidate.IsReady && isCurrent
	return candidate
}

// Spend sends one request for the peer's verdict on a token. The verdict is ArbiterUnreachable if
// ctx ends before the response. The error is errNotConnected if the request could not be sent or
// the connection ended before the response.
func (p *Peer) Spend(
	ctx context.Context, token string, id resumetoken.RedemptionID,
) (resumetoken.Verdict, error) {
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
	case <-ctx.Done(): // a late response does not block, as reply is buffered
		return resumetoken.ArbiterUnreachable, nil
	}
}
