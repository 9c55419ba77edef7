package soak

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"coralrelay/internal/fake"
	"coralrelay/internal/scenario/testbed"
)

// signalPause is the pause between signals in series.
const signalPause = 30 * time.Millisecond

// restartWithSignals has the node end by SIGTERM, SIGHUP, SIGTERM and SIGHUP again: it ends once, in its time.
func (n *node) restartWithSignals(ctx context.Context) {
	process := n.currentProcess()
	killAt := time.Now().Add(n.run.killDelay())
	n.sendAway(n.run.history.now() + frontDelay)
	n.run.history.addChange("term", n.number, -1)
	for range 2 {
		process.Signal(syscall.SIGTERM)
		fake.Sleep(ctx, signalPause)
		n.hangUp(process)
		fake.Sleep(ctx, signalPause)
	}
	n.awaitEnd(process, killAt)
	n.startAgain(ctx)
}

// terminate has a process end as a planned restart does, and waits for it: SIGKILL comes as early as it may.
func (n *node) terminate(process *testbed.Process) {
	n.run.history.addChange("term", n.number, -1)
	process.Signal(syscall.SIGTERM)
	n.awaitEnd(process, time.Now().Add(n.run.killDelay()))
}

// awaitEnd waits for a process's end, and kills it at a time.
func (n *node) awaitEnd(process *testbed.Process, killAt time.Time) {
	select {
	case <-process.Done():
	case <-time.After(time.Until(killAt)):
		n.run.AddViolation("shutdown", process.Name+" did not end before it was killed")
		process.Kill()
	}
	n.run.history.addChange("ended", n.number, -1)
}

// restart ends the node, by a signal or outright, and starts it again.
func (n *node) restart(ctx context.Context, planned bool) {
	now := n.run.history.now()
	process := n.currentProcess()
	if planned {
		n.sendAway(now + frontDelay)
		n.terminate(process)
	} else {
		n.run.history.addChange("kill", n.number, -1)
		n.sendAway(now)
		process.Kill()
	}
	n.startAgain(ctx)
}

// startAgain starts the node again and holds it to the time until it is ready.
func (n *node) startAgain(ctx context.Context) {
	took, err := n.start(ctx)
	n.run.history.addChange("ready", n.number, -1)
	switch {
	case ctx.Err() != nil:
	case err != nil:
		n.run.AddViolation("start", fmt.Sprintf("%s: %v", nodeName(n.number), err))
	case took > usualReadyTimeout:
		n.run.AddMetric("late_starts", 1)
	}
	n.run.AddMetric("starts", 1)
}

// succeed has another process take the node over.
func (n *node) succeed(ctx context.Context) {
	previous, next := n.currentProcess(), n.newProcess()
	next.Log = "log" // appended to
	if err := next.Start(); err != nil {
		n.run.AddViolation("start", err.Error())
		return
	}
	n.run.history.addChange("successor", n.number, -1)
	fake.Sleep(ctx, 300*time.Millisecond)
	n.setProcess(next)
	n.terminate(previous)
	n.run.history.addChange("ready", n.number, -1)
	n.run.AddMetric("starts", 1)
}
