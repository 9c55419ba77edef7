package replog

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	maxUpstreamsTried = 32 // per round
	retryInterval     = 50 * time.Millisecond
)

// rejectedError reports an upstream that has rejected this member as a follower.
type rejectedError struct {
	Reason       string
	Alternatives []Peer // members that may have capacity
}

func (e *rejectedError) Error() string { return "rejected by the upstream: " + e.Reason }

// follow keeps this member connected to an upstream until ctx ends, except while it leads.
func (r *Replica) follow(ctx context.Context) {
	failedAt := map[string]time.Time{} // by peer name; recently failed peers are tried last
	for ctx.Err() == nil {
		upstreamCtx, cancel := context.WithCancel(ctx)
		r.mu.Lock()
		r.cancelUpstream = cancel
		r.mu.Unlock()
		if r.IsLeader() {
			<-upstreamCtx.Done() // reselectUpstream is called when this member loses leadership
		} else if !r.tryUpstreams(upstreamCtx, failedAt) {
			select {
			case <-time.After(retryInterval + rand.N(retryInterval)):
			case <-upstreamCtx.Done():
			}
		}
		cancel()
	}
}

// tryUpstreams follows one candidate after another until one has sent a heartbeat within the
// lease, and reports whether one has. It records failed upstreams in failedAt.
func (r *Replica) tryUpstreams(ctx context.Context, failedAt map[string]time.Time) bool {
	queue, isPreferred := r.upstreamQueue(failedAt)
	tried := map[string]bool{r.self.Name: true}
	for len(queue) > 0 && len(tried) <= maxUpstreamsTried && ctx.Err() == nil {
		peer := queue[0]
		queue = queue[1:]
		if tried[peer.Name] {
			continue
		}
		tried[peer.Name] = true
		isFresh, err := r.followUpstream(ctx, peer, isPreferred[peer.Name])
		var rejected *rejectedError
		if errors.As(err, &rejected) {
			queue = append(queue, rejected.Alternatives[:min(len(rejected.Alternatives), maxFollowers)]...)
		} else if err != nil && ctx.Err() == nil {
			slog.Debug("upstream failed", component, "peer", peer.Name, "error", err)
			failedAt[peer.Name] = time.Now()
		}
		if isFresh {
			return true
		}
	}
	return false
}

// upstreamQueue returns the members to try, with recently failed ones last, and which of them
// are preferred. It removes failures older than the peer timeout from failedAt.
func (r *Replica) upstreamQueue(failedAt map[string]time.Time) (queue []Peer, isPreferred map[string]bool) {
	ranked, preferredCount := rankUpstreams(r.self.Name, r.options.Voters, r.options.Peers(), r.View().Leader)
	isPreferred = map[string]bool{}
	for _, peer := range ranked[:preferredCount] {
		isPreferred[peer.Name] = true
	}
	for name, at := range failedAt {
		if time.Since(at) > r.options.peerTimeout() {
			delete(failedAt, name)
		}
	}
	var failed []Peer
	for _, peer := range ranked {
		if _, hasFailed := failedAt[peer.Name]; hasFailed {
			failed = append(failed, peer)
		} else {
			queue = append(queue, peer)
		}
	}
	return slices.Concat(queue, failed), isPreferred
}

// followUpstream follows one member until the session ends. It reports whether that member has
// sent a heartbeat within the lease, that is, one whose confirmation of the leader was less than
// a lease old on arrival. The error is a *rejectedError if the member has rejected this one, and
// nil if this one has left an upstream that is not preferred in order to select again.
func (r *Replica) followUpstream(ctx context.Context, peer Peer, isPreferred bool) (isFresh bool, err error) {
	conn, err := r.transport.dial(ctx, peer.Addr, purposeFollow, r.options.peerTimeout()/2)
	if err != nil {
		return false, err
	}
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	defer func() { _ = conn.Close() }()
	return r.receiveFrom(conn, peer, isPreferred)
}
