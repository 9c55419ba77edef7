package agent

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"coralrelay/internal/fleet/logentry"
)

// proposalTimeout limits how long a proposal may take. After it, the controller evaluates again.
const proposalTimeout = time.Second

// propose proposes a change that a controller has decided, logs the outcome and returns the index of its
// entry in the replicated log, or 0 if it has none. It blocks for at most proposalTimeout.
func (a *Agent) propose(ctx context.Context, kind logentry.Kind, at time.Duration, change any, reason string) uint64 {
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	log := slog.With("component", component, "kind", string(kind), "reason", reason)
	body, err := json.Marshal(change)
	if err != nil {
		log.Error("cannot encode a proposal", "error", err)
		return 0
	}
	entry := logentry.Entry{Kind: kind, ProposedBy: a.Name, ProposedAt: at.Milliseconds(), Reason: reason, Body: body}
	outcome, err := a.Log.Propose(ctx, entry)
	switch {
	case err != nil:
		log.Warn("proposal not decided", "error", err)
	case !outcome.Accepted:
		log.Warn("proposal rejected", "index", outcome.Index, "rejection", outcome.Reason)
	default:
		log.Info("proposal accepted", "index", outcome.Index)
	}
	return outcome.Index
}
