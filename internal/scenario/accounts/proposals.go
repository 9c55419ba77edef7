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

// proposalStatus is what is known of a proposal's end.
type proposalStatus int

const (
	outcomeUnknown proposalStatus = iota // it may have been accepted, or may yet be
	outcomeKnown                         // outcome has it
	notProposed                          // it is not part of the log
)

// proposal is an entry that was proposed, as its author saw it.
type proposal struct {
	entry                logentry.Entry
	raw                  []byte // the entry as its agent forwards it
	label                string
	brokenRule           string // if it is accepted; empty if it may be
	agent                string
	calledAt, returnedAt time.Time
	status               proposalStatus
	outcome              logentry.Outcome
	failure              string // why the outcome is not known
}

func (p *proposal) isAccepted() bool { return p.status == outcomeKnown && p.outcome.Accepted }

// metric returns the metric that counts proposals of this end.
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

// history is all that was proposed.
type history struct {
	mu            sync.Mutex
	proposals     []*proposal
	revokedChains []grantChain
	races         []race
}

// grantChain is a chain of grants that was revoked at an index: nothing by its keys is accepted later.
type grantChain struct {
	keyNames  []string
	revokedAt uint64
}

func (h *history) add(o *proposal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.proposals = append(h.proposals, o)
}

// race is two proposals that were made at the same moment.
type race [2]*proposal

// changeOn returns a change of a tree.
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

// propose signs a change and proposes it to an agent. brokenRule is the rule that is broken if it is
// accepted, or empty.
func (s *scenario) propose(k key, agent string, c account.Change, label, brokenRule string) *proposal {
	body, err := json.Marshal(c)
	if err != nil {
		return &proposal{status: notProposed, failure: err.Error()}
	}
	entry := logentry.Entry{
		Kind: logentry.KindAccounts, ProposedAt: time.Now().UnixMilli(), Reason: label, KeyName: k.name(), Body: body,
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
	o := &proposal{entry: entry, raw: raw, label: label, brokenRule: brokenRule, agent: agent}
	s.proposalSlots[agent] <- struct{}{} // the agent limits its calls, and the watcher needs one
	o.calledAt = time.Now()
	var answer struct {
		Outcome logentry.Outcome `json:"outcome"`
	}
	err = s.Agents[agent].Call(agentapi.OperatorRequest{Method: "propose", Entry: raw}, &answer)
	o.returnedAt = time.Now()
	<-s.proposalSlots[agent]
	var callError *agentapi.CallError
	var networkError *net.OpError
	switch {
	case err == nil:
		o.status, o.outcome = outcomeKnown, answer.Outcome
	case errors.As(err, &callError) && !callError.OutcomeUnknown,
		errors.As(err, &networkError) && networkError.Op == "dial":
		o.status, o.failure = notProposed, err.Error()
	default:
		o.failure = err.Error()
	}
	s.history.add(o)
	return o
}

func (p *proposal) String() string {
	took := p.returnedAt.Sub(p.calledAt).Round(time.Millisecond)
	return fmt.Sprintf("%s by way of %s, %v: %+v %s", p.label, p.agent, took, p.outcome, p.failure)
}
