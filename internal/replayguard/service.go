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

// retryInterval is the delay before a request is repeated after errNotConnected.
const retryInterval = 10 * time.Millisecond

// ServiceConfig is the configuration of a Service that can change while the node runs.
type ServiceConfig struct {
	KeyRing        *resumetoken.KeyRing
	TokenLifetime  time.Duration
	ClockSkew      time.Duration // maximum difference between the clocks of nodes
	ArbiterTimeout time.Duration // for an arbiter's verdict; then the client gets a snapshot
}

// Service mints and redeems tokens for one node. Its methods may be called concurrently.
type Service struct {
	name           string
	guard          *Guard
	peers          map[string]*Peer // by node name
	config         atomic.Pointer[ServiceConfig]
	draining       atomic.Bool
	mintFailureLog logging.Throttled
	Counters       Counters
}

// Counters count the operations of a Service.
type Counters struct {
	Minted       atomic.Int64                                     // tokens that were minted
	WithoutToken atomic.Int64                                     // clients migrated without a token
	Verdicts     [resumetoken.ArbiterUnreachable + 1]atomic.Int64 // redemptions by verdict
}

// NewService returns the service of the node with the given name. peers maps the names of nodes
// to the addresses of their servers. It may contain the node itself, which is ignored, so that all
// nodes can have the same configuration.
func NewService(name string, guard *Guard, config ServiceConfig, peers map[string]string) *Service {
	service := &Service{name: name, guard: guard, peers: map[string]*Peer{}}
	service.config.Store(&config)
	for peer, addr := range peers {
		if peer != name {
			service.peers[peer] = &Peer{Name: peer, Addr: addr, currentKeyRing: service.KeyRing}
		}
	}
	return service
}

// Run keeps the connections to the peers open until ctx ends.
func (s *Service) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, peer := range s.peers {
		wg.Go(func() { peer.Run(ctx) })
	}
	wg.Wait()
}

// KeyRing returns the key ring of the current configuration.
func (s *Service) KeyRing() *resumetoken.KeyRing { return s.config.Load().KeyRing }

// UpdateConfig replaces the configuration.
func (s *Service) UpdateConfig(config ServiceConfig) { s.config.Store(&config) }

// BeginDraining marks the node as draining. As the node is about to exit, peers arbitrate the
// tokens that it mints from then on, if a peer is ready.
func (s *Service) BeginDraining() { s.draining.Store(true) }

// Mint returns a token for a client that is migrated. It returns "" if no guard can arbitrate the
// token or if minting fails.
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
		s.mintFailureLog.Warn("resume token not minted, client migrates without one",
			"component", component, "error", err)
		s.Counters.WithoutToken.Add(1)
		return ""
	}
	s.Counters.Minted.Add(1)
	return token
}

// chooseArbiter chooses the arbiter of a new token, and returns false if no guard can be one.
func (s *Service) chooseArbiter(now time.Time, nonce resumetoken.Nonce) (resumetoken.Candidate, bool) {
	peers := make([]resumetoken.Candidate, 0, len(s.peers))
	for _, peer := range s.peers {
		peers = append(peers, peer.Candidate(now))
	}
	return resumetoken.ChooseArbiter(s.guard.candidate(s.name), s.draining.Load(), peers, nonce)
}

// Redeem decides how the stream of a client that presents a token starts. It waits for the
// arbiter's verdict until ctx ends, but no longer than the configured ArbiterTimeout.
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

// requestVerdict requests the verdict of the token's arbiter, which is the guard of this node or
// of a peer. text is the encoded token.
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

// spendLocally requests the verdict of this node's guard and waits for it until ctx ends.
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

// spendAtPeer requests the verdict of a peer's guard. After errNotConnected it repeats the request
// with the same redemption id until ctx ends.
func spendAtPeer(
	ctx context.Context, peer *Peer, text string, id resumetoken.RedemptionID,
) resumetoken.Verdict {
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
