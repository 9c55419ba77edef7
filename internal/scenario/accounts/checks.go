package accounts

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"coralrelay/internal/fleet/logentry"
)

// violationf records a violation of a rule, with a formatted description.
func (s *scenario) violationf(rule, format string, args ...any) {
	s.AddViolation(rule, fmt.Sprintf(format, args...))
}

// minActivity has, by metric, how often each event that the scenario provokes must occur in a complete
// run: a run in which it occurs less often does not test the rule behind it.
var minActivity = map[string]float64{
	"taken": 250, "refused": 150, "leaders_lost": 6, "lines_revoked": 5, "races": 8, "answers_lost": 1,
	"tried_" + ruleParentLimit: 5, "tried_" + ruleSubtree: 8, "tried_" + ruleAtomic: 8,
	"tried_" + ruleOnce: 5,
	"trees_seen_share":  0.5,
}

// minServedShare is the smallest share of the background transactions that must be served.
const minServedShare = 0.9

// check checks all answers and observations. isComplete means that all phases ran, so that the event
// counts of minActivity are required, too.
func (s *scenario) check(isComplete bool) {
	proposals := s.history.proposals
	slices.SortFunc(proposals, func(a, b *proposal) int { return a.calledAt.Compare(b.calledAt) })
	s.checkAnswers(proposals)
	s.checkTrees()
	s.checkStaleness(proposals)
	s.measureTimes(proposals)
	if states := s.checkHistory(proposals); states != nil {
		s.checkStates(states)
	}
	s.RequireAtLeast("taken", 60)
	if isComplete {
		for metric, least := range minActivity {
			s.RequireAtLeast(metric, least)
		}
	}
	share, all := s.ServedShare(time.Now().Add(rateLearningTime-s.Elapsed()), time.Now())
	s.SetMetric("served_beside_it", share)
	if all > 0 && share < minServedShare {
		s.violationf("served", "%.3f of %d background transactions were served, want at least %v",
			share, all, minServedShare)
	}
}

// checkAnswers checks each answer independently of the states that members reported: an accepted
// proposal has a log index of its own, breaks no rule, and is not signed by a revoked key; of two
// proposals of a race, at most one is accepted.
func (s *scenario) checkAnswers(proposals []*proposal) {
	byIndex := map[uint64]*proposal{}
	revokedAt := map[string]uint64{} // log index of the revocation, by key name
	for _, chain := range s.history.revokedChains {
		s.AddMetric("lines_revoked", 1)
		for _, name := range chain.keyNames {
			revokedAt[name] = chain.revokedAt
		}
	}
	for _, p := range proposals {
		s.AddMetric(p.metric(), 1)
		if p.brokenRule != "" {
			s.AddMetric("tried_"+p.brokenRule, 1)
		}
		if p.status != outcomeKnown || p.outcome.Index == 0 {
			if p.isAccepted() {
				s.AddViolation("answer", "accepted without a log index: "+p.String())
			}
			continue
		}
		if one := byIndex[p.outcome.Index]; one != nil {
			s.violationf("index", "two proposals at index %d: %v and %v", p.outcome.Index, one, p)
		}
		byIndex[p.outcome.Index] = p
		if p.isAccepted() && p.brokenRule != "" {
			s.AddViolation(p.brokenRule, "accepted: "+p.String())
		}
		if index, ok := revokedAt[p.entry.KeyName]; ok && p.isAccepted() && p.outcome.Index > index {
			s.violationf("revoked", "accepted although its grant was revoked at index %d: %v", index, p)
		}
	}
	for _, pair := range s.history.races {
		s.AddMetric("races", 1)
		if pair[0].isAccepted() && pair[1].isAccepted() {
			s.violationf("compared", "two proposals with the same base version were both accepted: %v and %v",
				pair[0], pair[1])
		}
	}
}

// checkTrees checks the state that members held at each index: its limits, scopes, conflicts and chains
// of grants are valid, and all members held the same state.
func (s *scenario) checkTrees() {
	s.watcher.mu.Lock()
	defer s.watcher.mu.Unlock()
	last := uint64(0)
	for _, index := range slices.Sorted(maps.Keys(s.watcher.trees)) {
		list := s.watcher.trees[index]
		last = index
		if len(list) > 1 {
			s.violationf("same", "at index %d %s and %s hold different states: hashes %.8x and %.8x",
				index, list[1].agent, list[0].agent, list[1].state.Hash, list[0].state.Hash)
		}
		for _, one := range list {
			tree := one.state.Accounts
			if err := tree.Validate(); err != nil {
				s.violationf("tree", "%s at index %d: %v", one.agent, index, err)
			}
			for _, r := range tree.Routes {
				if r.Name == partialRouteName {
					s.violationf(ruleAtomic, "%s at index %d has route %q", one.agent, index, r.Path())
				}
			}
		}
	}
	s.SetMetric("entries", float64(last))
	s.SetMetric("trees_seen_share", float64(len(s.watcher.trees))/float64(max(last, 1)))
}

// reportedHashes returns the hash that members reported for each index. A member whose hash differs
// from the first one reported for the index is recorded as a violation.
func (s *scenario) reportedHashes() map[uint64]logentry.Hash {
	s.watcher.mu.Lock()
	defer s.watcher.mu.Unlock()
	hashes, reporters := map[uint64]logentry.Hash{}, map[uint64]string{}
	for _, name := range slices.Sorted(maps.Keys(s.watcher.samples)) {
		index := uint64(0)
		for _, sample := range s.watcher.samples[name] {
			var hash logentry.Hash
			if sample.Index == index || hash.UnmarshalText([]byte(sample.Hash)) != nil {
				continue
			}
			index = sample.Index
			if one, ok := hashes[index]; ok && one != hash {
				s.violationf("hash", "at index %d %s has %.8s, %s has %.8x",
					index, name, sample.Hash, reporters[index], one[:])
				continue
			}
			hashes[index], reporters[index] = hash, name
		}
	}
	return hashes
}

// checkHistory checks the history against the model. It returns the states that the search for a valid
// order visited, by hash, or nil if it found no valid order.
func (s *scenario) checkHistory(proposals []*proposal) map[logentry.Hash]*logentry.State {
	hashes := s.reportedHashes()
	final, _ := s.watcher.latest(s.Names[0])
	s.watcher.mu.Lock()
	genesis := s.watcher.lastTrees[s.Names[0]].Genesis
	s.watcher.mu.Unlock()
	first, err := logentry.NewState(genesis)
	if err != nil {
		s.AddViolation("history", err.Error())
		return nil
	}
	m, begun := newModel(first, proposals, hashes), time.Now()
	verdict := m.check(first, proposals, hashes[final.Index], historyTimeout)
	s.SetMetric("history_checked_ms", float64(time.Since(begun).Milliseconds()))
	s.SetMetric("history_operations", float64(len(proposals)))
	switch verdict {
	case porcupine.Ok:
		return m.states
	case porcupine.Illegal:
		s.violationf("history", "no order of %d proposals agrees with real time, with their versions "+
			"and with the final state of the members", len(proposals))
	default:
		s.violationf("history", "search for an order of %d proposals not finished within %v",
			len(proposals), historyTimeout)
	}
	return nil
}

// checkStates checks that each state that a member reported is the result of the log entries up to it.
func (s *scenario) checkStates(states map[logentry.Hash]*logentry.State) {
	s.watcher.mu.Lock()
	defer s.watcher.mu.Unlock()
	for index, list := range s.watcher.trees {
		for _, one := range list {
			want := states[one.state.Hash]
			if want == nil {
				s.violationf("log", "%s at index %d: hash chain results from no order of the proposals",
					one.agent, index)
				continue
			}
			if raw, err := json.Marshal(want); err != nil || sha256.Sum256(raw) != one.checksum {
				s.violationf("log", "%s at index %d: state differs from the result of the log entries (%v)",
					one.agent, index, err)
			}
		}
	}
}
