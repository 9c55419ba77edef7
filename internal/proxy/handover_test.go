package proxy_test

import (
	"io"
	"net"
	"os"
	"testing"

	"coralrelay/balance"
	"coralrelay/internal/lineproto"
	"coralrelay/internal/proxy"
)

// heir is another process, whose answer waits until the test gives it.
type fakeSuccessor struct {
	t       *testing.T
	offered chan struct{}
	accepts chan bool
	state   proxy.EstablishedSession
	*fakeObserver
	finished chan struct{}
}

func newFakeSuccessor(t *testing.T) *fakeSuccessor {
	return &fakeSuccessor{t: t, offered: make(chan struct{}), accepts: make(chan bool), finished: make(chan struct{}),
		fakeObserver: &fakeObserver{gone: make(chan struct{}), ended: make(chan balance.Outcome, 1)}}
}

func (h *fakeSuccessor) Take(state proxy.EstablishedSession, client, upstream net.Conn) bool {
	copied := func(c net.Conn) net.Conn { // as it would come to another process
		file, err := c.(interface{ File() (*os.File, error) }).File()
		if err != nil {
			h.t.Error(err)
			return c
		}
		defer file.Close()
		if c, err = net.FileConn(file); err != nil {
			h.t.Error(err)
		}
		return c
	}
	state.FromClient, state.FromUpstream = append([]byte{}, state.FromClient...), append([]byte{}, state.FromUpstream...)
	state.Gate = proxy.NewCommitGate()
	h.state = state
	session := proxy.Inherit(state, lineproto.Codec{}, h.fakeObserver, copied(client), copied(upstream))
	go func() { defer close(h.finished); session.Run() }()
	close(h.offered)
	accepts := <-h.accepts
	if accepts {
		state.Gate.Commit()
	} else {
		state.Gate.Abort()
	}
	return accepts
}

// Whatever comes on a connection while it is handed over comes once, and to its one owner:
// the heir, whether it came before that had answered or after, or this process where it
// refuses, which then asks the caller to come again. Of both sides half a line was read
// before.
func TestNothingIsLostOrDuplicatedDuringHandover(t *testing.T) {
	abort := func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() }
	closeUpstream := func(b *fixture) { b.upstream.Close() }
	const half, bye = "half\r\n", "half\r\nBYE\r\n"
	cases := []struct {
		name                                   string
		clientWrites, upstreamWrites           string // said at the crossing, and then
		event                                  func(b *fixture)
		clientWritesLater, upstreamWritesLater string // said once it is owned again
		upstreamReads, clientReads             string // all that goes on
		outcome                                balance.Outcome
		clientGone, upstreamGone, clientReset  bool // cut: the caller is reset
	}{
		{name: "nothing", clientWritesLater: "f\r\n", upstreamWritesLater: "lf\r\nBYE\r\n", upstreamReads: half, clientReads: bye},
		{name: "the caller's line", clientWrites: "f\r\none\r\n", upstreamWritesLater: "lf\r\nBYE\r\n", upstreamReads: half + "one\r\n", clientReads: bye},
		{name: "half the caller's line", clientWrites: "f", clientWritesLater: "\r\n", upstreamWritesLater: "lf\r\nBYE\r\n", upstreamReads: half, clientReads: bye},
		{name: "the next hop's line", upstreamWrites: "lf\r\n", upstreamWritesLater: "BYE\r\n", clientWritesLater: "f\r\n", upstreamReads: half, clientReads: bye},
		{name: "half the next hop's line", upstreamWrites: "l", upstreamWritesLater: "f\r\nBYE\r\n", clientWritesLater: "f\r\n", upstreamReads: half, clientReads: bye},
		{name: "BYE", upstreamWrites: "lf\r\nBYE\r\n", event: closeUpstream, clientReads: bye, upstreamGone: true},
		{name: "MOVE", upstreamWrites: "lf\r\nMOVE\r\n", event: closeUpstream, clientReads: half + "MOVE\r\n", outcome: balance.Cancelled, upstreamGone: true},
		{name: "the next hop's end", upstreamWrites: "lf\r\n", event: closeUpstream, clientReads: half, outcome: balance.Reset, upstreamGone: true},
		{name: "the next hop's reset", event: func(b *fixture) { abort(b.upstream) }, outcome: balance.Reset, upstreamGone: true, clientReset: true},
		{name: "the caller's end", clientWrites: "f\r\nlast\r\n", event: func(b *fixture) { b.client.Close() }, upstreamReads: half + "last\r\n", outcome: balance.Cancelled, clientGone: true},
		{name: "the caller's reset", event: func(b *fixture) { abort(b.client) }, outcome: balance.Cancelled, clientGone: true},
		{name: "the module's move", event: func(b *fixture) { b.session.Migrate() }, clientWritesLater: "f\r\n", upstreamWritesLater: "lf\r\nBYE\r\n", upstreamReads: half, clientReads: bye},
	}
	const before, after, refused = "before the answer", "after it", "before it refuses"
	for _, when := range []string{before, after, refused} {
		for _, tt := range cases {
			t.Run(when+"/"+tt.name, func(t *testing.T) {
				b, successor := startSession(t), newFakeSuccessor(t)
				b.establish(t)
				write(t, b.upstream, "whole\r\nha")
				b.expectLine(t, b.clientReader, "whole\r\n")
				write(t, b.client, "whole\r\nhal")
				b.expectLine(t, b.upstreamReader, "whole\r\n")
				cross := func() {
					write(t, b.client, tt.clientWrites)
					write(t, b.upstream, tt.upstreamWrites)
					if tt.event != nil {
						tt.event(b)
					}
				}
				b.session.HandOver(successor)
				receive(t, successor.offered)
				if string(successor.state.FromClient) != "hal" || string(successor.state.FromUpstream) != "ha" || successor.state.PendingSince.IsZero() {
					t.Errorf("handed over: %q, %q, pending since %v", successor.state.FromClient, successor.state.FromUpstream, successor.state.PendingSince)
				}
				if when != after {
					cross()
				}
				successor.accepts <- when != refused
				receive(t, b.ended)
				if when == refused {
					if got, err := io.ReadAll(b.clientReader); !tt.clientGone && (err != nil || string(got) != "MOVE\r\n") {
						t.Errorf("its caller read %q, %v; want MOVE and its end", got, err)
					}
					if got, _ := io.ReadAll(b.upstreamReader); len(got) > 0 {
						t.Errorf("the next hop read %q", got)
					}
					receive(t, successor.finished)
					return
				}
				receive(t, b.finished)
				if when == after {
					cross()
				}
				if tt.clientWritesLater != "" {
					write(t, b.client, tt.clientWritesLater)
				}
				if !tt.upstreamGone {
					got := make([]byte, len(tt.upstreamReads))
					if _, err := io.ReadFull(b.upstreamReader, got); err != nil || string(got) != tt.upstreamReads {
						t.Errorf("the next hop read %q, %v; want %q", got, err, tt.upstreamReads)
					}
					write(t, b.upstream, tt.upstreamWritesLater)
				}
				if tt.clientGone {
					if got, _ := io.ReadAll(b.upstreamReader); len(got) > 0 {
						t.Errorf("the next hop read %q as well", got)
					}
				}
				b.upstream.Close()
				if got, err := io.ReadAll(b.clientReader); !tt.clientGone && (string(got) != tt.clientReads || (err != nil) != tt.clientReset) {
					t.Errorf("the caller read %q, %v; want %q", got, err, tt.clientReads)
				}
				b.client.Close()
				if outcome := receive(t, successor.ended); outcome != tt.outcome {
					t.Errorf("at the heir it ended as %v, want %v", outcome, tt.outcome)
				}
				receive(t, successor.finished)
			})
		}
	}
}
