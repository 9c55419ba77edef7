package replayguard

import (
	"context"
	"crypto/rand"
	"sync"
	"sync/atomic"
	"time"

	"coralrelay/internal/logging"
	"coralrelay/internal/mutation"
	"coralrelay/internal/resumetoken"
)

// retry is the pause before a question that found no connection is put again.
const retryInterval = 10 * time.Millisecond

// Terms are what may change while the node runs.
type ServiceConfig struct {
	KeyRing        *resumetoken.KeyRing
	TokenLifetime  time.Duration // of a token
	ClockSkew      time.Duration // by which nodes' clocks may differ
	ArbiterTimeout time.Duration // for an arbiter's answer, before the client gets a snapshot
}

// Service mints and redeems tokens for one node.
type Service struct {
	name         string
	guard        *Guard
	peers        map[string]*Peer
	config       atomic.Pointer[ServiceConfig]
	draining     atomic.Bool
	mintFailures logging.Throttled
	Counters     Counters
}

// Counts are what a Service has done so far.
type Counters struct {
	Minted, WithoutToken atomic.Int64 // tokens; moves without one
	Verdicts             [resumetoken.ArbiterUnreachable + 1]atomic.Int64
}

// NewService returns the node's service; peers are its addresses by name.
func NewService(name string, guard *Guard, config ServiceConfig, peers map[string]string) *Service {
	service := &Service{name: name, guard: guard, peers: map[string]*Peer{}}
	service.config.Store(&config)
	for name, addr := range peers {
		if name != service.name { // one file may serve all nodes
			service.peers[name] = &Peer{Name: name, Addr: addr, ring: service.KeyRing}
		}
	}
	return service
}

// Run keeps the connections to peers until ctx ends.
func (s *Service) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, p := range s.peers {
		wg.Go(func() { p.Run(ctx) })
	}
	wg.Wait()
}

// Ring returns the keys in force.
func (s *Service) KeyRing() *resumetoken.KeyRing { return s.config.Load().KeyRing }

// Change puts other terms in force.
func (s *Service) UpdateConfig(config ServiceConfig) { s.config.Store(&config) }

// Leave tells that the node is about to end: others have to arbitrate what it
// mints from now on.
func (s *Service) BeginDraining() { s.draining.Store(true) }

// Mint returns a token for a client that is moved, or "" if nobody could arbitrate
// one.
func (s *Service) Mint(flowKey, group string, position resumetoken.Position) string {
	now, config := time.Now(), s.config.Load()
	var nonce resumetoken.Nonce
	_, _ = rand.Read(nonce[:])
	peers := make([]resumetoken.Candidate, 0, len(s.peers))
	for _, p := range s.peers {
		peers = append(peers, p.Candidate(now))
	}
	self := resumetoken.Candidate{Name: s.name, GuardID: s.guard.ID, IsReady: s.guard.IsReady(), IsDurable: s.guard.IsDurable}
	arbiter, ok := resumetoken.ChooseArbiter(self, s.draining.Load(), peers, nonce)
	if !ok {
		s.Counters.WithoutToken.Add(1)
		return ""
	}
	if mutation.Enabled("position") {
		position.Offset++
	}
	text, err := resumetoken.Mint(config.KeyRing, now, resumetoken.Claims{Issuer: s.name, Arbiter: arbiter.Name, GuardID: arbiter.GuardID,
		Position: position, FlowKey: flowKey, Group: group, Lifetime: config.TokenLifetime, Nonce: nonce})
	if err != nil {
		s.mintFailures.Warn("no token for a moved client", "err", err)
		s.Counters.WithoutToken.Add(1)
		return ""
	}
	s.Counters.Minted.Add(1)
	return text
}

// Redeem settles one presentation, within the terms' wait and before ctx ends.
func (s *Service) Redeem(ctx context.Context, presentation resumetoken.Presentation) resumetoken.Outcome {
	config := s.config.Load()
	if mutation.Enabled("binding") {
		if token, err := resumetoken.Open(config.KeyRing, presentation.Token); err == nil {
			return s.redeemWithArbiter(ctx, config, presentation.Token, &resumetoken.Redemption{Token: token})
		}
	}
	redemption, outcome, settled := resumetoken.BeginRedemption(config.KeyRing, time.Now(), presentation, config.ClockSkew)
	if !settled {
		outcome = s.redeemWithArbiter(ctx, config, presentation.Token, redemption)
	}
	s.Counters.Verdicts[outcome.Verdict].Add(1)
	return outcome
}

func (s *Service) redeemWithArbiter(ctx context.Context, config *ServiceConfig, text string, redemption *resumetoken.Redemption) resumetoken.Outcome {
	ctx, cancel := context.WithTimeout(ctx, config.ArbiterTimeout)
	defer cancel()
	var id resumetoken.RedemptionID
	_, _ = rand.Read(id[:])
	v := s.requestVerdict(ctx, text, &redemption.Token, id)
	if mutation.Enabled("ledger") {
		v = resumetoken.Granted
	}
	outcome, _ := redemption.Complete(v)
	return outcome
}

// verdict asks the token's arbiter, again under the same claim where the
// connection broke, until ctx ends.
func (s *Service) requestVerdict(ctx context.Context, text string, token *resumetoken.Token, id resumetoken.RedemptionID) resumetoken.Verdict {
	if token.Arbiter == s.name {
		reply := make(chan resumetoken.Verdict, 1)
		s.guard.Spend(token, id, func(v resumetoken.Verdict) { reply <- v })
		select {
		case v := <-reply:
			return v
		case <-ctx.Done():
			return resumetoken.ArbiterUnreachable
		}
	}
	peer := s.peers[token.Arbiter]
	if peer == nil {
		return resumetoken.ArbiterUnreachable
	}
	for {
		v, err := peer.Spend(ctx, text, id)
		if err == nil {
			return v
		}
		select {
		case <-ctx.Done():
			return resumetoken.ArbiterUnreachable
		case <-time.After(retryInterval):
		}
	}
}
