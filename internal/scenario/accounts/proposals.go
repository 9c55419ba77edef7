package accounts

import (
	"crypto/ed25519"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"coralrelay/internal/fleet/account"
	"coralrelay/internal/fleet/agentapi"
	"coralrelay/internal/fleet/logentry"
)

// proposalStatus says whether the outcome of a proposal is known to its author.
type proposalStatus int

const (
	outcomeUnknown proposalStatus = iota // the answer was lost; the entry may be accepted, even later
	outcomeKnown                         // the outcome is in proposal.outcome
	notProposed                          // the entry did not reach the log
)

// proposal is an entry that was proposed, with the outcome as its author observed it.
type proposal struct {
	entry                logentry.Entry
	raw                  []byte // the entry as its agent forwards it
	label                string
	brokenRule           string // the rule that accepting it breaks; empty if it may be accepted
	agent                string
	calledAt, returnedAt time.Time
	status               proposalStatus
	outcome              logentry.Outcome
	failure              string // the error, unless the outcome is known
}

func (p *proposal) isAccepted() bool { return p.status == outcomeKnown && p.outcome.Accepted }

// metric returns the name of the metric that counts proposals with this status and outcome.
func (p *proposal) metric() string {
	switch {
	case p.status == outcomeUnknown:
		return "answers_lost"
	case p.status == notProposed:
		return "not_proposed"
	case p.outcome.Accepted:
		return "taken"
	}
	return "refused"
}

// history records all proposals, revoked chains of grants and races.
type history struct {
	mu            sync.Mutex
	proposals     []*proposal
	revokedChains []grantChain
	races         []race
}

// grantChain is a chain of grants that was revoked at a log index. No proposal that one of its keys
// signed may be accepted at a later index.
type grantChain struct {
	keyNames  []string
	revokedAt uint64
}

func (h *history) add(p *proposal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.proposals = append(h.proposals, p)
}

// race is a pair of proposals that were submitted concurrently.
type race [2]*proposal

// changeOn returns a change with the version of a tree as its base.
func changeOn(base account.State, ops ...account.Op) account.Change {
	return account.Change{BaseVersion: base.Version, Ops: ops}
}

func (h *history) addRace(r race) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.races = append(h.races, r)
}

func (h *history) addRevokedChain(chain grantChain) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.revokedChains = append(h.revokedChains, chain)
}

// propose signs a change and proposes it to an agent. brokenRule is the rule that accepting the change
// breaks, or empty if it may be accepted.
func (s *scenario) propose(k key, agent string, c account.Change, label, brokenRule string) *proposal {
	body, err := json.Marshal(c)
	if err != nil {
		return &proposal{status: notProposed, failure: err.Error()}
	}
	entry := logentry.Entry{
		Kind: logentry.KindAccounts, ProposedAt: time.Now().UnixMilli(), Reason: label,
		KeyName: k.name(), Body: body,
	}
	entry.Signature = ed25519.Sign(ed25519.PrivateKey(k), entry.SignedBytes())
	return s.submit(entry, agent, label, brokenRule)
}

// submit proposes a signed entry to an agent.
func (s *scenario) submit(entry logentry.Entry, agent, label, brokenRule string) *proposal {
	entry.ProposedBy = agent
	raw, err := json.Marshal(&entry)
	if err != nil {
		return &proposal{status: notProposed, failure: err.Error()}
	}
	p := &proposal{entry: entry, raw: raw, label: label, brokenRule: brokenRule, agent: agent}
	s.proposalSlots[agent] <- struct{}{} // the agent limits concurrent calls, and the watcher needs one
	p.calledAt = time.Now()
	var answer struct {
		Outcome logentry.Outcome `json:"outcome"`
	}
	err = s.Agents[agent].Call(agentapi.OperatorRequest{Method: "propose", Entry: raw}, &answer)
	p.returnedAt = time.Now()
	<-s.proposalSlots[agent]
	var callError *agentapi.CallError
	var networkError *net.OpError
	switch {
	case err == nil:
		p.status, p.outcome = outcomeKnown, answer.Outcome
	case errors.As(err, &callError) && !callError.OutcomeUnknown,
		errors.As(err, &networkError) && networkError.Op == "dial":
		p.status, p.failure = notProposed, err.Error()
	default:
		p.failure = err.Error()
	}
	s.history.add(p)
	return p
}

func (p *proposal) String() string {
	took := p.returnedAt.Sub(p.calledAt).Round(time.Millisecond)
	return fmt.Sprintf("%s by way of %s, %v: %+v %s", p.label, p.agent, took, p.outcome, p.failure)
}
