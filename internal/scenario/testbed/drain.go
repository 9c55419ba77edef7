package testbed

import (
	"context"
	"fmt"
	"time"

	"coralrelay/internal/fake"
)

const (
	// DrainGrace is how long a node may still send new traffic to a server after it was notified that
	// the server drains.
	DrainGrace = 300 * time.Millisecond
	// SocketDelay is added to the time limits of the rules to allow for the latency of sockets.
	SocketDelay = 50 * time.Millisecond
	// FinalAnswerTimeout is the time within which a client must get its final answer.
	FinalAnswerTimeout = 1800 * time.Millisecond
)

// CheckDrain checks the drain rule for something new that a server received from a node at a time. It
// adds a violation if that was later than DrainGrace after the node was notified of the drain.
func (r *Result) CheckDrain(discovery *fake.Discovery, node, server, what string, at time.Time) {
	notifiedAt := discovery.NotifiedAt(node, server)
	if late := at.Sub(notifiedAt); !notifiedAt.IsZero() && late > DrainGrace+SocketDelay {
		r.AddViolation("drain", fmt.Sprintf("%s got %s from %s %v after the node was told", server, what, node, late))
	}
}

// BounceServer kills a server and starts it again. Discovery removes the server noticeDelay after the
// kill. After a further restartDelay the server runs on its old address, cold and with a new epoch.
func (r *Result) BounceServer(ctx context.Context, discovery *fake.Discovery, server *fake.Server, nodes []string,
	noticeDelay, restartDelay time.Duration) {
	server.Kill()
	fake.Sleep(ctx, noticeDelay)
	discovery.Set(server.Name, fake.Left, time.Time{}, nil)
	fake.Sleep(ctx, restartDelay)
	addrs, err := server.Start(nodes)
	if err != nil {
		r.AddViolation("restart", err.Error())
		return
	}
	discovery.Set(server.Name, fake.Active, time.Now(), addrs)
}
