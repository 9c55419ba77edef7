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

// judge holds all that was answered and seen to the rules. Whole tells that all steps were
// played, so that all that is to be provoked has been.
func (s *scenario) check(whole bool) {
	ops := s.history.proposals
	slices.SortFunc(ops, func(a, b *proposal) int { return a.calledAt.Compare(b.calledAt) })
	s.checkAnswers(ops)
	s.checkTrees()
	s.checkStaleness(ops)
	s.measureTimes(ops)
	if states := s.checkHistory(ops); states != nil {
		s.checkStates(states)
	}
	s.RequireAtLeast("taken", 60)
	if whole {
		for figure, least := range map[string]float64{"taken": 250, "refused": 150, "leaders_lost": 6, "lines_revoked": 5, "tried_" + ruleParent: 5,
			"tried_" + ruleSubtree: 8, "tried_" + ruleHalf: 8, "tried_" + ruleTwice: 5, "races": 8, "answers_lost": 1, "trees_seen_share": 0.5} {
			s.RequireAtLeast(figure, least)
		}
	}
	share, all := s.ServedShare(time.Now().Add(learningTime-s.Elapsed()), time.Now())
	s.SetMetric("served_beside_it", share)
	if all > 0 && share < 0.9 {
		s.AddViolation("served", fmt.Sprintf("%.3f of %d transactions were served beside it, want 0.9 at least", share, all))
	}
}

// rules looks at each answer by itself.
func (s *scenario) checkAnswers(ops []*proposal) {
	at := map[uint64]*proposal{}
	keys := map[string]uint64{}
	for _, l := range s.history.revokedChains {
		s.AddMetric("lines_revoked", 1)
		for _, k := range l.keyNames {
			keys[k] = l.revokedAt
		}
	}
	for _, o := range ops {
		s.AddMetric(map[int]string{outcomeUnknown: "answers_lost", notProposed: "not_proposed", outcomeKnown: map[bool]string{true: "taken", false: "refused"}[o.outcome.Accepted]}[o.status], 1)
		if o.brokenRule != "" {
			s.AddMetric("tried_"+o.brokenRule, 1)
		}
		if o.status != outcomeKnown || o.outcome.Index == 0 {
			if o.isAccepted() {
				s.AddViolation("answer", "taken at no index: "+o.String())
			}
			continue
		}
		if one := at[o.outcome.Index]; one != nil {
			s.AddViolation("index", fmt.Sprintf("two entries at index %d: %v and %v", o.outcome.Index, one, o))
		}
		at[o.outcome.Index] = o
		if o.isAccepted() && o.brokenRule != "" {
			s.AddViolation(o.brokenRule, "taken: "+o.String())
		}
		if gone, ok := keys[o.entry.KeyName]; ok && o.isAccepted() && o.outcome.Index > gone {
			s.AddViolation("revoked", fmt.Sprintf("revoked at %d, taken: %v", gone, o))
		}
	}
	for _, pair := range s.history.races {
		s.AddMetric("races", 1)
		if pair[0].isAccepted() && pair[1].isAccepted() {
			s.AddViolation("compared", fmt.Sprintf("two on one base were both taken: %v and %v", pair[0], pair[1]))
		}
	}
}

// trees looks at what members held at each index: sums, scopes, ties and lines of grants,
// and that all of them held the same.
func (s *scenario) checkTrees() {
	s.watcher.mu.Lock()
	defer s.watcher.mu.Unlock()
	last := uint64(0)
	for _, index := range slices.Sorted(maps.Keys(s.watcher.trees)) {
		list := s.watcher.trees[index]
		last = index
		if len(list) > 1 {
			s.AddViolation("same", fmt.Sprintf("at index %d %s holds another state than %s: hashes %.8x and %.8x", index, list[1].agent, list[0].agent, list[1].state.Hash, list[0].state.Hash))
		}
		for _, one := range list {
			t := one.state.Accounts
			if err := t.Validate(); err != nil {
				s.AddViolation("tree", fmt.Sprintf("%s at index %d: %v", one.agent, index, err))
			}
			for _, r := range t.Routes {
				if r.Name == halfRouteName {
					s.AddViolation(ruleHalf, fmt.Sprintf("%s at index %d has route %q", one.agent, index, r.Path()))
				}
			}
		}
	}
	s.SetMetric("entries", float64(last))
	s.SetMetric("trees_seen_share", float64(len(s.watcher.trees))/float64(max(last, 1)))
}

// told are the hashes that members told, by index. Who told another than the first is wrong.
func (s *scenario) reportedHashes() map[uint64]logentry.Hash {
	s.watcher.mu.Lock()
	defer s.watcher.mu.Unlock()
	all, who := map[uint64]logentry.Hash{}, map[uint64]string{}
	for _, name := range slices.Sorted(maps.Keys(s.watcher.samples)) {
		at := uint64(0)
		for _, l := range s.watcher.samples[name] {
			var h logentry.Hash
			if l.Index == at || h.UnmarshalText([]byte(l.Hash)) != nil {
				continue
			}
			at = l.Index
			if one, ok := all[at]; ok && one != h {
				s.AddViolation("hash", fmt.Sprintf("at index %d %s has %.8s, %s has %.8x", at, name, l.Hash, who[at], one[:]))
				continue
			}
			all[at], who[at] = h, name
		}
	}
	return all
}

// ordered holds the history to the model, and returns the states of the order that was
// found; nil where there is none.
func (s *scenario) checkHistory(ops []*proposal) map[logentry.Hash]*logentry.State {
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
	m, begun := newModel(first, ops, hashes), time.Now()
	verdict := m.check(first, ops, hashes[final.Index], historyTimeout)
	s.SetMetric("history_checked_ms", float64(time.Since(begun).Milliseconds()))
	s.SetMetric("history_operations", float64(len(ops)))
	switch verdict {
	case porcupine.Ok:
		return m.states
	case porcupine.Illegal:
		s.AddViolation("history", fmt.Sprintf("%d proposals fit no order that agrees with time, with versions and with what members hold at the end", len(ops)))
	default:
		s.AddViolation("history", fmt.Sprintf("no order of %d proposals was found within %v", len(ops), historyTimeout))
	}
	return nil
}

// same holds each state that a member showed to what the entries before it add up to.
func (s *scenario) checkStates(states map[logentry.Hash]*logentry.State) {
	s.watcher.mu.Lock()
	defer s.watcher.mu.Unlock()
	for index, list := range s.watcher.trees {
		for _, one := range list {
			want := states[one.state.Hash]
			if want == nil {
				s.AddViolation("log", fmt.Sprintf("%s at index %d: its chain is none of what was proposed", one.agent, index))
				continue
			}
			if raw, err := json.Marshal(want); err != nil || sha256.Sum256(raw) != one.checksum {
				s.AddViolation("log", fmt.Sprintf("%s at index %d holds what the entries do not add up to (%v)", one.agent, index, err))
			}
		}
	}
}
