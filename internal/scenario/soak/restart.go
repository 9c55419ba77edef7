package soak

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"coralrelay/internal/fake"
	"coralrelay/internal/scenario/testbed"
)

// signalPause is the pause between signals in a series.
const signalPause = 30 * time.Millisecond

// restartWithSignals restarts the node with the signals SIGTERM, SIGHUP, SIGTERM and SIGHUP. The
// repeated signals must neither prevent nor delay the end of the process.
func (n *node) restartWithSignals(ctx context.Context) {
	process := n.currentProcess()
	killAt := time.Now().Add(n.run.killDelay())
	n.divertClients(n.run.history.now() + divertDelay)
	n.run.history.addChange("term", n.number, -1)
	for range 2 {
		process.Signal(syscall.SIGTERM)
		fake.Sleep(ctx, signalPause)
		n.reload(process)
		fake.Sleep(ctx, signalPause)
	}
	n.awaitEnd(process, killAt)
	n.startAgain(ctx)
}

// terminate sends SIGTERM, as a planned restart does, and waits for the end of the process. It
// sends SIGKILL after killDelay.
func (n *node) terminate(process *testbed.Process) {
	n.run.history.addChange("term", n.number, -1)
	process.Signal(syscall.SIGTERM)
	n.awaitEnd(process, time.Now().Add(n.run.killDelay()))
}

// awaitEnd waits for the end of a process. It kills a process that still runs at killAt, which is a
// violation.
func (n *node) awaitEnd(process *testbed.Process, killAt time.Time) {
	select {
	case <-process.Done():
	case <-time.After(time.Until(killAt)):
		n.run.AddViolation("shutdown", process.Name+" did not exit before it was killed")
		process.Kill()
	}
	n.run.history.addChange("ended", n.number, -1)
}

// restart ends the node, by SIGTERM if planned and by SIGKILL otherwise, and starts it again.
func (n *node) restart(ctx context.Context, planned bool) {
	now := n.run.history.now()
	process := n.currentProcess()
	if planned {
		n.divertClients(now + divertDelay)
		n.terminate(process)
	} else {
		n.run.history.addChange("kill", n.number, -1)
		n.divertClients(now)
		process.Kill()
	}
	n.startAgain(ctx)
}

// startAgain starts the node again, and records a failed or late start.
func (n *node) startAgain(ctx context.Context) {
	took, err := n.start(ctx)
	n.run.history.addChange("ready", n.number, -1)
	switch {
	case ctx.Err() != nil:
	case err != nil:
		n.run.AddViolation("start", fmt.Sprintf("%s: %v", nodeName(n.number), err))
	case took > lateStartThreshold:
		n.run.AddMetric("late_starts", 1)
	}
	n.run.AddMetric("starts", 1)
}

// hotRestart starts another process that takes over from the running one.
func (n *node) hotRestart(ctx context.Context) {
	previous, next := n.currentProcess(), n.newProcess()
	next.Log = "log" // appended to the log of the previous process
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
