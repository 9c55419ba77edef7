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
	// SocketDelay is by how much the rules' times are longer on sockets.
	SocketDelay = 50 * time.Millisecond
	// AnswerTimeout is how long a client waits for its final answer.
	AnswerTimeout = 1800 * time.Millisecond
)

// CheckDrain holds what a server got from a node to the drain rule: nothing new later than the
// grace after that node was told.
func (r *Result) CheckDrain(discovery *fake.Discovery, node, server, what string, at time.Time) {
	notifiedAt := discovery.NotifiedAt(node, server)
	if late := at.Sub(notifiedAt); !notifiedAt.IsZero() && late > DrainGrace+SocketDelay {
		r.AddViolation("drain", fmt.Sprintf("%s got %s from %s %v after the node was told", server, what, node, late))
	}
}

// BounceServer ends a server as a killed one ends. Discovery notices after noticeDelay; after
// restartDelay more the server is back at its address, cold and with a new epoch.
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
