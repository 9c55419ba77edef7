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

func (h *fakeSuccessor) Take(s proxy.EstablishedSession, caller, hop net.Conn) bool {
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
	s.FromClient, s.FromUpstream = append([]byte{}, s.FromClient...), append([]byte{}, s.FromUpstream...)
	s.Gate = proxy.NewCommitGate()
	h.state = s
	x := proxy.Inherit(s, lineproto.Codec{}, h.fakeObserver, copied(caller), copied(hop))
	go func() { defer close(h.finished); x.Run() }()
	close(h.offered)
	takes := <-h.accepts
	if takes {
		s.Gate.Commit()
	} else {
		s.Gate.Abort()
	}
	return takes
}

// Whatever comes on a connection while it is handed over comes once, and to its one owner:
// the heir, whether it came before that had answered or after, or this process where it
// refuses, which then asks the caller to come again. Of both sides half a line was read
// before.
func TestNothingIsLostOrDuplicatedDuringHandover(t *testing.T) {
	abort := func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() }
	endHop := func(b *fixture) { b.upstream.Close() }
	const half, bye = "half\r\n", "half\r\nBYE\r\n"
	events := []struct {
		name                     string
		fromCaller, fromHop      string // said at the crossing, and then
		do                       func(b *fixture)
		laterCaller, laterHop    string // said once it is owned again
		toHop, toCaller          string // all that goes on
		ended                    balance.Outcome
		callerGone, hopGone, cut bool // cut: the caller is reset
	}{
		{name: "nothing", laterCaller: "f\r\n", laterHop: "lf\r\nBYE\r\n", toHop: half, toCaller: bye},
		{name: "the caller's line", fromCaller: "f\r\none\r\n", laterHop: "lf\r\nBYE\r\n", toHop: half + "one\r\n", toCaller: bye},
		{name: "half the caller's line", fromCaller: "f", laterCaller: "\r\n", laterHop: "lf\r\nBYE\r\n", toHop: half, toCaller: bye},
		{name: "the next hop's line", fromHop: "lf\r\n", laterHop: "BYE\r\n", laterCaller: "f\r\n", toHop: half, toCaller: bye},
		{name: "half the next hop's line", fromHop: "l", laterHop: "f\r\nBYE\r\n", laterCaller: "f\r\n", toHop: half, toCaller: bye},
		{name: "BYE", fromHop: "lf\r\nBYE\r\n", do: endHop, toCaller: bye, hopGone: true},
		{name: "MOVE", fromHop: "lf\r\nMOVE\r\n", do: endHop, toCaller: half + "MOVE\r\n", ended: balance.Cancelled, hopGone: true},
		{name: "the next hop's end", fromHop: "lf\r\n", do: endHop, toCaller: half, ended: balance.Reset, hopGone: true},
		{name: "the next hop's reset", do: func(b *fixture) { abort(b.upstream) }, ended: balance.Reset, hopGone: true, cut: true},
		{name: "the caller's end", fromCaller: "f\r\nlast\r\n", do: func(b *fixture) { b.client.Close() }, toHop: half + "last\r\n", ended: balance.Cancelled, callerGone: true},
		{name: "the caller's reset", do: func(b *fixture) { abort(b.client) }, ended: balance.Cancelled, callerGone: true},
		{name: "the module's move", do: func(b *fixture) { b.session.Migrate() }, laterCaller: "f\r\n", laterHop: "lf\r\nBYE\r\n", toHop: half, toCaller: bye},
	}
	const before, after, refused = "before the answer", "after it", "before it refuses"
	for _, when := range []string{before, after, refused} {
		for _, e := range events {
			t.Run(when+"/"+e.name, func(t *testing.T) {
				b, h := startSession(t), newFakeSuccessor(t)
				b.establish(t)
				write(t, b.upstream, "whole\r\nha")
				b.expectLine(t, b.clientReader, "whole\r\n")
				write(t, b.client, "whole\r\nhal")
				b.expectLine(t, b.upstreamReader, "whole\r\n")
				cross := func() {
					write(t, b.client, e.fromCaller)
					write(t, b.upstream, e.fromHop)
					if e.do != nil {
						e.do(b)
					}
				}
				b.session.HandOver(h)
				receive(t, h.offered)
				if string(h.state.FromClient) != "hal" || string(h.state.FromUpstream) != "ha" || h.state.PendingSince.IsZero() {
					t.Errorf("handed over: %q, %q, pending since %v", h.state.FromClient, h.state.FromUpstream, h.state.PendingSince)
				}
				if when != after {
					cross()
				}
				h.accepts <- when != refused
				receive(t, b.ended)
				if when == refused {
					if got, err := io.ReadAll(b.clientReader); !e.callerGone && (err != nil || string(got) != "MOVE\r\n") {
						t.Errorf("its caller read %q, %v; want MOVE and its end", got, err)
					}
					if got, _ := io.ReadAll(b.upstreamReader); len(got) > 0 {
						t.Errorf("the next hop read %q", got)
					}
					receive(t, h.finished)
					return
				}
				receive(t, b.finished)
				if when == after {
					cross()
				}
				if e.laterCaller != "" {
					write(t, b.client, e.laterCaller)
				}
				if !e.hopGone {
					got := make([]byte, len(e.toHop))
					if _, err := io.ReadFull(b.upstreamReader, got); err != nil || string(got) != e.toHop {
						t.Errorf("the next hop read %q, %v; want %q", got, err, e.toHop)
					}
					write(t, b.upstream, e.laterHop)
				}
				if e.callerGone {
					if got, _ := io.ReadAll(b.upstreamReader); len(got) > 0 {
						t.Errorf("the next hop read %q as well", got)
					}
				}
				b.upstream.Close()
				if got, err := io.ReadAll(b.clientReader); !e.callerGone && (string(got) != e.toCaller || (err != nil) != e.cut) {
					t.Errorf("the caller read %q, %v; want %q", got, err, e.toCaller)
				}
				b.client.Close()
				if how := receive(t, h.ended); how != e.ended {
					t.Errorf("at the heir it ended as %v, want %v", how, e.ended)
				}
				receive(t, h.finished)
			})
		}
	}
}
