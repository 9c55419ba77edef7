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
	maxUpstreamsTried = 32 // in one round
	retryInterval     = 50 * time.Millisecond
)

// rejectedError reports an upstream that does not serve this member.
type rejectedError struct {
	Reason       string
	Alternatives []Peer // members that may have capacity
}

func (e *rejectedError) Error() string { return "rejected by the upstream: " + e.Reason }

// follow keeps this member fed by an upstream until ctx ends, except while it leads.
func (r *Replica) follow(ctx context.Context) {
	failedAt := map[string]time.Time{} // by peer; those that failed of late are tried last
	for ctx.Err() == nil {
		upstreamCtx, cancel := context.WithCancel(ctx)
		r.mu.Lock()
		r.leaveUpstream = cancel
		r.mu.Unlock()
		if r.IsLeader() {
			<-upstreamCtx.Done() // reselectUpstream is called when it leads no more
		} else if !r.tryUpstreams(upstreamCtx, failedAt) {
			select {
			case <-time.After(retryInterval + rand.N(retryInterval)):
			case <-upstreamCtx.Done():
			}
		}
		cancel()
	}
}

// tryUpstreams follows one member after the other until one has fed this one, and reports
// whether one has. It keeps failedAt up to date.
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
		fed, err := r.followUpstream(ctx, peer, isPreferred[peer.Name])
		var rejected *rejectedError
		if errors.As(err, &rejected) {
			queue = append(queue, rejected.Alternatives[:min(len(rejected.Alternatives), maxFollowers)]...)
		} else if err != nil && ctx.Err() == nil {
			slog.Debug("upstream failed", component, "peer", peer.Name, "error", err)
			failedAt[peer.Name] = time.Now()
		}
		if fed {
			return true
		}
	}
	return false
}

// upstreamQueue returns the members to try, those that failed of late last, and which of
// them are preferred. It forgets older failures.
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

// followUpstream follows one member until that ends, and reports whether a heartbeat within
// the lease came from it. The error is a *rejectedError if the member has no capacity, and
// nil if this member has left one that is not preferred, to try others again.
func (r *Replica) followUpstream(ctx context.Context, peer Peer, isPreferred bool) (fed bool, err error) {
	conn, err := r.transport.dial(ctx, peer.Addr, purposeFollow, r.options.peerTimeout()/2)
	if err != nil {
		return false, err
	}
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	defer func() { _ = conn.Close() }()
	return r.receiveFrom(conn, peer, isPreferred)
}
