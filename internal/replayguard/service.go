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

// retryInterval is the pause before a request that found no connection is sent again.
const retryInterval = 10 * time.Millisecond

// ServiceConfig is what may change while the node runs.
type ServiceConfig struct {
	KeyRing        *resumetoken.KeyRing
	TokenLifetime  time.Duration
	ClockSkew      time.Duration // by which nodes' clocks may differ
	ArbiterTimeout time.Duration // for an arbiter's verdict, before the client gets a snapshot
}

// Service mints and redeems tokens for one node. Its methods may be called from several
// goroutines.
type Service struct {
	name         string
	guard        *Guard
	peers        map[string]*Peer // by node name
	config       atomic.Pointer[ServiceConfig]
	draining     atomic.Bool
	mintFailures logging.Throttled
	Counters     Counters
}

// Counters count what a Service has done.
type Counters struct {
	Minted       atomic.Int64                                     // tokens
	WithoutToken atomic.Int64                                     // clients that were migrated without one
	Verdicts     [resumetoken.ArbiterUnreachable + 1]atomic.Int64 // redemptions by verdict
}

// NewService returns the service of the node of that name. The peers are addresses by node
// name; the node's own is passed over, as one list may serve all nodes.
func NewService(name string, guard *Guard, config ServiceConfig, peers map[string]string) *Service {
	service := &Service{name: name, guard: guard, peers: map[string]*Peer{}}
	service.config.Store(&config)
	for peer, addr := range peers {
		if peer != name {
			service.peers[peer] = &Peer{Name: peer, Addr: addr, ring: service.KeyRing}
		}
	}
	return service
}

// Run keeps the connections to peers until ctx ends.
func (s *Service) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, peer := range s.peers {
		wg.Go(func() { peer.Run(ctx) })
	}
	wg.Wait()
}

// KeyRing returns the keys in force.
func (s *Service) KeyRing() *resumetoken.KeyRing { return s.config.Load().KeyRing }

// UpdateConfig puts another configuration in force.
func (s *Service) UpdateConfig(config ServiceConfig) { s.config.Store(&config) }

// BeginDraining tells the service that the node is about to end: peers have to arbitrate the
// tokens that it mints from now on.
func (s *Service) BeginDraining() { s.draining.Store(true) }

// Mint returns a token for a client that is migrated, or "" if no guard could arbitrate one.
func (s *Service) Mint(flowKey, group string, position resumetoken.Position) string {
	now, config := time.Now(), s.config.Load()
	var nonce resumetoken.Nonce
	_, _ = rand.Read(nonce[:])
	arbiter, ok := s.chooseArbiter(now, nonce)
	if !ok {
		s.Counters.WithoutToken.Add(1)
		return ""
	}
	if mutation.Enabled("position") {
		position.Offset++
	}
	token, err := resumetoken.Mint(config.KeyRing, now, resumetoken.Claims{
		Issuer:   s.name,
		Arbiter:  arbiter.Name,
		GuardID:  arbiter.GuardID,
		Position: position,
		FlowKey:  flowKey,
		Group:    group,
		Lifetime: config.TokenLifetime,
		Nonce:    nonce,
	})
	if err != nil {
		s.mintFailures.Warn("resume token not minted, client migrates without one", "component", component, "error", err)
		s.Counters.WithoutToken.Add(1)
		return ""
	}
	s.Counters.Minted.Add(1)
	return token
}

// chooseArbiter names the guard that arbitrates a new token; it is false if none could.
func (s *Service) chooseArbiter(now time.Time, nonce resumetoken.Nonce) (resumetoken.Candidate, bool) {
	peers := make([]resumetoken.Candidate, 0, len(s.peers))
	for _, peer := range s.peers {
		peers = append(peers, peer.Candidate(now))
	}
	return resumetoken.ChooseArbiter(s.guard.candidate(s.name), s.draining.Load(), peers, nonce)
}

// Redeem decides how the stream of a client that presents a token starts, within the
// configured ArbiterTimeout and before ctx ends.
func (s *Service) Redeem(ctx context.Context, presentation resumetoken.Presentation) resumetoken.Outcome {
	config := s.config.Load()
	if mutation.Enabled("binding") {
		if token, err := resumetoken.Open(config.KeyRing, presentation.Token); err == nil {
			redemption := &resumetoken.Redemption{Token: token}
			return s.redeemAtArbiter(ctx, config.ArbiterTimeout, presentation.Token, redemption)
		}
	}
	redemption, outcome, isSettled := resumetoken.BeginRedemption(
		config.KeyRing, time.Now(), presentation, config.ClockSkew)
	if !isSettled {
		outcome = s.redeemAtArbiter(ctx, config.ArbiterTimeout, presentation.Token, redemption)
	}
	s.Counters.Verdicts[outcome.Verdict].Add(1)
	return outcome
}

// redeemAtArbiter completes a redemption with the verdict of the token's arbiter.
func (s *Service) redeemAtArbiter(
	ctx context.Context, timeout time.Duration, token string, redemption *resumetoken.Redemption,
) resumetoken.Outcome {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var id resumetoken.RedemptionID
	_, _ = rand.Read(id[:])
	verdict := s.requestVerdict(ctx, token, &redemption.Token, id)
	if mutation.Enabled("ledger") {
		verdict = resumetoken.Granted
	}
	outcome, _ := redemption.Complete(verdict)
	return outcome
}

// requestVerdict asks the token's arbiter: this node's guard or a peer's. The text is the
// token's encoded form.
func (s *Service) requestVerdict(
	ctx context.Context, text string, token *resumetoken.Token, id resumetoken.RedemptionID,
) resumetoken.Verdict {
	if token.Arbiter == s.name {
		return s.spendLocally(ctx, token, id)
	}
	peer := s.peers[token.Arbiter]
	if peer == nil {
		return resumetoken.ArbiterUnreachable
	}
	return spendAtPeer(ctx, peer, text, id)
}

// spendLocally asks this node's guard and waits for its verdict until ctx ends.
func (s *Service) spendLocally(
	ctx context.Context, token *resumetoken.Token, id resumetoken.RedemptionID,
) resumetoken.Verdict {
	reply := make(chan resumetoken.Verdict, 1)
	s.guard.Spend(token, id, func(verdict resumetoken.Verdict) { reply <- verdict })
	select {
	case verdict := <-reply:
		return verdict
	case <-ctx.Done():
		return resumetoken.ArbiterUnreachable
	}
}

// spendAtPeer asks a peer, and again under the same redemption id where the connection broke,
// until ctx ends.
func spendAtPeer(ctx context.Context, peer *Peer, text string, id resumetoken.RedemptionID) resumetoken.Verdict {
	for {
		verdict, err := peer.Spend(ctx, text, id)
		if err == nil {
			return verdict
		}
		select {
		case <-ctx.Done():
			return resumetoken.ArbiterUnreachable
		case <-time.After(retryInterval):
		}
	}
}
