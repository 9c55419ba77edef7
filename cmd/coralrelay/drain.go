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
	// rejectRetryAfter is the Retry-After for clients that are rejected before their first line is
	// read. It is longer than the 0.4 s for which the front still sends clients to a draining node.
	rejectRetryAfter = 500 * time.Millisecond
	// maxDrainDeadline and drainMargin bound a planned restart. It waits for the longest deadline of
	// any class, but at most for maxDrainDeadline, and may take 0.7 s longer, of which the drain plan
	// uses drainMargin.
	maxDrainDeadline = 3 * time.Second
	drainMargin      = 400 * time.Millisecond
	// frontUpdateDelay is how long the front still sends clients to this node after a restart has
	// begun, including clients that were migrated from it.
	frontUpdateDelay = 400 * time.Millisecond
)

// drain ends all sessions before the process exits. It takes at most the longest deadline of any class,
// or maxDrainDeadline if that is shorter, plus drainMargin.
func (n *node) drain() {
	n.startDraining() // first, because the following steps may take time
	n.resumption.beginDraining()
	longest := min(n.active.longestDeadline(), maxDrainDeadline)
	startedAt := time.Now()
	n.lock.SetServing(false)
	hasSuccessor := n.lock.IsSiblingServing() // a sibling that is not ready or drains too accepts no clients
	slog.Info("draining", "component", componentNode, "longest_deadline", longest, "successor", hasSuccessor)
	plan := newDrainPlan(startedAt, longest)
	if hasSuccessor { // the successor accepts all new clients; this process serves those accepted before
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

// dialSuccessor connects to the process that takes over the sessions. It returns nil if that process
// can't be reached; the sessions then migrate.
func (n *node) dialSuccessor() *hotrestart.Sender {
	sender, err := hotrestart.Dial(os.TempDir(), n.lock.SiblingName())
	if err != nil {
		slog.Warn("cannot reach the successor, sessions migrate", "component", componentNode, "error", err)
		return nil
	}
	return sender
}

// newDrainPlan returns the plan of a restart without a successor: sessions are migrated at an even rate
// from half of the longest deadline on, but not before the front has stopped sending clients here.
func newDrainPlan(startedAt time.Time, longest time.Duration) downstream.DrainPlan {
	end := startedAt.Add(longest + drainMargin)
	return downstream.DrainPlan{
		RejectAt:    startedAt,
		MoveStartAt: startedAt.Add(max(longest/2, frontUpdateDelay)),
		MoveEndAt:   end.Add(-3 * drainMargin / 4),
		EndAt:       end,
	}
}

// retryAfter returns the Retry-After for clients that are rejected before their first line is read, or 0
// if the settings do not allow one.
func retryAfter(limits balance.Limits) time.Duration {
	if !limits.SendRetryAfter {
		return 0
	}
	return min(rejectRetryAfter, limits.MaxRetryAfter)
}
