package testbed

import (
	"context"
	"fmt"
	"time"

	"coralrelay/internal/fake"
)

const (
	// DrainGrace is how long after it was told of a drain a node may send something new.
	DrainGrace = 300 * time.Millisecond
	// OnSockets is by how much the rules' times are longer there.
	SocketDelay = 50 * time.Millisecond
	// Patience is a client's, for its final answer.
	Patience = 1800 * time.Millisecond
)

// HoldDrain holds what a server got to the drain rule: nothing new later than the
// grace after that node was told.
func (r *Result) CheckDrain(roster *fake.Discovery, node, server, what string, at time.Time) {
	told := roster.NotifiedAt(node, server)
	if late := at.Sub(told); !told.IsZero() && late > DrainGrace+SocketDelay {
		r.AddViolation("drain", fmt.Sprintf("%s got %s from %s %v after the node was told", server, what, node, late))
	}
}

// Fall ends a server as a killed one ends. The roster notices a while later; later
// still it is back at its address, cold and with a numbering of its own.
func (r *Result) BounceServer(ctx context.Context, roster *fake.Discovery, v *fake.Server, nodes []string, noticed, back time.Duration) {
	v.Kill()
	fake.Sleep(ctx, noticed)
	roster.Set(v.Name, fake.Left, time.Time{}, nil)
	fake.Sleep(ctx, back)
	addrs, err := v.Start(nodes)
	if err != nil {
		r.AddViolation("restart", err.Error())
		return
	}
	roster.Set(v.Name, fake.Active, time.Now(), addrs)
}
