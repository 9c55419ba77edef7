package rig

import (
	"context"
	"fmt"
	"time"

	"coralrelay/internal/standin"
)

// holdDrain holds what a server got to the drain rule: nothing new later than the
// grace after that node was told.
func (r *Result) holdDrain(roster *standin.Roster, node, server, what string, at time.Time) {
	told := roster.Told(node, server)
	if late := at.Sub(told); !told.IsZero() && late > drainGrace+onSockets {
		r.Broken("drain", fmt.Sprintf("%s got %s from %s %v after the node was told", server, what, node, late))
	}
}

// fall ends a server as a killed one ends. The roster notices a while later; later
// still it is back at its address, cold and with a numbering of its own.
func (r *Result) fall(ctx context.Context, roster *standin.Roster, v *standin.Server, nodes []string, noticed, back time.Duration) {
	v.Kill()
	standin.Sleep(ctx, noticed)
	roster.Set(v.Name, standin.Left, time.Time{}, nil)
	standin.Sleep(ctx, back)
	addrs, err := v.Start(nodes)
	if err != nil {
		r.Broken("restart", err.Error())
		return
	}
	roster.Set(v.Name, standin.Active, time.Now(), addrs)
}
