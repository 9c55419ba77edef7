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
const retry = 10 * time.Millisecond

// Terms are what may change while the node runs.
type ServiceConfig struct {
	KeyRing        *resumetoken.KeyRing
	TokenLifetime  time.Duration // of a token
	ClockSkew      time.Duration // by which nodes' clocks may differ
	ArbiterTimeout time.Duration // for an arbiter's answer, before the client gets a snapshot
}

// Service mints and redeems tokens for one node.
type Service struct {
	name     string
	ledger   *Guard
	peers    map[string]*Peer
	terms    atomic.Pointer[ServiceConfig]
	leaving  atomic.Bool
	failed   logging.Throttled
	Counters Counters
}

// Counts are what a Service has done so far.
type Counters struct {
	Minted, WithoutToken atomic.Int64 // tokens; moves without one
	Verdicts             [resumetoken.ArbiterUnreachable + 1]atomic.Int64
}

// NewService returns the node's service; peers are its addresses by name.
func NewService(name string, l *Guard, t ServiceConfig, peers map[string]string) *Service {
	s := &Service{name: name, ledger: l, peers: map[string]*Peer{}}
	s.terms.Store(&t)
	for name, addr := range peers {
		if name != s.name { // one file may serve all nodes
			s.peers[name] = &Peer{Name: name, Addr: addr, ring: s.KeyRing}
		}
	}
	return s
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
func (s *Service) KeyRing() *resumetoken.KeyRing { return s.terms.Load().KeyRing }

// Change puts other terms in force.
func (s *Service) UpdateConfig(t ServiceConfig) { s.terms.Store(&t) }

// Leave tells that the node is about to end: others have to arbitrate what it
// mints from now on.
func (s *Service) BeginDraining() { s.leaving.Store(true) }

// Mint returns a token for a client that is moved, or "" if nobody could arbitrate
// one.
func (s *Service) Mint(flowKey, group string, pos resumetoken.Position) string {
	now, terms := time.Now(), s.terms.Load()
	var n resumetoken.Nonce
	_, _ = rand.Read(n[:])
	peers := make([]resumetoken.Candidate, 0, len(s.peers))
	for _, p := range s.peers {
		peers = append(peers, p.Candidate(now))
	}
	self := resumetoken.Candidate{Name: s.name, GuardID: s.ledger.ID, IsReady: s.ledger.IsReady(), IsDurable: s.ledger.IsDurable}
	arbiter, ok := resumetoken.ChooseArbiter(self, s.leaving.Load(), peers, n)
	if !ok {
		s.Counters.WithoutToken.Add(1)
		return ""
	}
	if mutation.Enabled("position") {
		pos.Offset++
	}
	text, err := resumetoken.Mint(terms.KeyRing, now, resumetoken.Claims{Issuer: s.name, Arbiter: arbiter.Name, GuardID: arbiter.GuardID,
		Position: pos, FlowKey: flowKey, Group: group, Lifetime: terms.TokenLifetime, Nonce: n})
	if err != nil {
		s.failed.Warn("no token for a moved client", "err", err)
		s.Counters.WithoutToken.Add(1)
		return ""
	}
	s.Counters.Minted.Add(1)
	return text
}

// Redeem settles one presentation, within the terms' wait and before ctx ends.
func (s *Service) Redeem(ctx context.Context, p resumetoken.Presentation) resumetoken.Outcome {
	terms := s.terms.Load()
	if mutation.Enabled("binding") {
		if t, err := resumetoken.Open(terms.KeyRing, p.Token); err == nil {
			return s.ask(ctx, terms, p.Token, &resumetoken.Redemption{Token: t})
		}
	}
	r, o, settled := resumetoken.BeginRedemption(terms.KeyRing, time.Now(), p, terms.ClockSkew)
	if !settled {
		o = s.ask(ctx, terms, p.Token, r)
	}
	s.Counters.Verdicts[o.Verdict].Add(1)
	return o
}

func (s *Service) ask(ctx context.Context, terms *ServiceConfig, text string, r *resumetoken.Redemption) resumetoken.Outcome {
	ctx, cancel := context.WithTimeout(ctx, terms.ArbiterTimeout)
	defer cancel()
	var c resumetoken.RedemptionID
	_, _ = rand.Read(c[:])
	v := s.verdict(ctx, text, &r.Token, c)
	if mutation.Enabled("ledger") {
		v = resumetoken.Granted
	}
	o, _ := r.Complete(v)
	return o
}

// verdict asks the token's arbiter, again under the same claim where the
// connection broke, until ctx ends.
func (s *Service) verdict(ctx context.Context, text string, t *resumetoken.Token, c resumetoken.RedemptionID) resumetoken.Verdict {
	if t.Arbiter == s.name {
		tell := make(chan resumetoken.Verdict, 1)
		s.ledger.Spend(t, c, func(v resumetoken.Verdict) { tell <- v })
		select {
		case v := <-tell:
			return v
		case <-ctx.Done():
			return resumetoken.ArbiterUnreachable
		}
	}
	p := s.peers[t.Arbiter]
	if p == nil {
		return resumetoken.ArbiterUnreachable
	}
	for {
		v, err := p.Spend(ctx, text, c)
		if err == nil {
			return v
		}
		select {
		case <-ctx.Done():
			return resumetoken.ArbiterUnreachable
		case <-time.After(retry):
		}
	}
}
