package main

import (
	"log/slog"
	"os"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/audit"
	"coralrelay/internal/downstream"
	"coralrelay/internal/hotrestart"
)

const (
	// rejectRetryAfter is the Retry-After of clients that are rejected before their first line
	// was read: while the node drains, the front still sends some here for 0.4 s.
	rejectRetryAfter = 500 * time.Millisecond
	// maxDrainDeadline and drainMargin: a planned restart waits for the longest deadline of a
	// class, at most maxDrainDeadline, and may take 0.7 s more, of which drainMargin is planned.
	maxDrainDeadline = 3 * time.Second
	drainMargin      = 400 * time.Millisecond
	// frontUpdateDelay is how long the front still sends clients here after a restart has
	// begun, those too that were migrated.
	frontUpdateDelay = 400 * time.Millisecond
)

// drain empties the node for good, within the longest deadline and a little more.
func (n *node) drain() {
	n.startDraining() // before anything that may take its time
	n.resumption.beginDraining()
	longest := min(n.active.longestDeadline(), maxDrainDeadline)
	startedAt := time.Now()
	n.lock.SetServing(false)
	hasSuccessor := n.lock.IsSiblingServing() // one that is not ready, or drains too, would leave clients to nobody
	slog.Info("draining", "component", componentNode, "longest_deadline", longest, "successor", hasSuccessor)
	plan := newDrainPlan(startedAt, longest)
	if hasSuccessor { // it accepts all clients from now on; those accepted before are served here
		_ = n.listener.Close()
		plan.RejectAt, plan.MoveStartAt = plan.EndAt, startedAt
		if sender := n.dialSuccessor(); sender != nil {
			defer sender.Close()
			sender.SendLearnedState(n.eventLoop.ExportLearnedState())
			plan.Successor = sender
		}
	}
	n.server.Drain(plan)
	_ = n.listener.Close()
	slog.Info("drained", "component", componentNode, "duration", time.Since(startedAt))
	slog.Info("session reasons", append([]any{"component", componentNode, "violations", audit.ViolationCount()},
		audit.Counts()...)...)
}

// dialSuccessor connects to the process that takes over the sessions; nil if it can't be
// reached, and they migrate.
func (n *node) dialSuccessor() *hotrestart.Sender {
	sender, err := hotrestart.Dial(os.TempDir(), n.lock.SiblingName())
	if err != nil {
		slog.Warn("cannot reach the successor, sessions migrate", "component", componentNode, "error", err)
		return nil
	}
	return sender
}

// newDrainPlan is the plan of a restart without a successor: sessions are migrated evenly
// from half of the longest deadline on, but not before the front knows of the restart.
func newDrainPlan(startedAt time.Time, longest time.Duration) downstream.DrainPlan {
	end := startedAt.Add(longest + drainMargin)
	return downstream.DrainPlan{
		RejectAt:    startedAt,
		MoveStartAt: startedAt.Add(max(longest/2, frontUpdateDelay)),
		MoveEndAt:   end.Add(-3 * drainMargin / 4),
		EndAt:       end,
	}
}

// retryAfter is asked of clients that are rejected before their first line was read, where
// the settings allow it; else 0.
func retryAfter(limits balance.Limits) time.Duration {
	if !limits.SendRetryAfter {
		return 0
	}
	return min(rejectRetryAfter, limits.MaxRetryAfter)
}
