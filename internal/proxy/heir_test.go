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
type heir struct {
	t     *testing.T
	asked chan struct{}
	takes chan bool
	s     proxy.EstablishedSession
	*watcher
	finished chan struct{}
}

func newHeir(t *testing.T) *heir {
	return &heir{t: t, asked: make(chan struct{}), takes: make(chan bool), finished: make(chan struct{}),
		watcher: &watcher{gone: make(chan struct{}), ended: make(chan balance.Outcome, 1)}}
}

func (h *heir) Take(s proxy.EstablishedSession, caller, hop net.Conn) bool {
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
	h.s = s
	x := proxy.Inherit(s, lineproto.Codec{}, h.watcher, copied(caller), copied(hop))
	go func() { defer close(h.finished); x.Run() }()
	close(h.asked)
	takes := <-h.takes
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
func TestCrossesAHandover(t *testing.T) {
	abort := func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() }
	endHop := func(b *bench) { b.hop.Close() }
	const half, bye = "half\r\n", "half\r\nBYE\r\n"
	events := []struct {
		name                     string
		fromCaller, fromHop      string // said at the crossing, and then
		do                       func(b *bench)
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
		{name: "the next hop's reset", do: func(b *bench) { abort(b.hop) }, ended: balance.Reset, hopGone: true, cut: true},
		{name: "the caller's end", fromCaller: "f\r\nlast\r\n", do: func(b *bench) { b.caller.Close() }, toHop: half + "last\r\n", ended: balance.Cancelled, callerGone: true},
		{name: "the caller's reset", do: func(b *bench) { abort(b.caller) }, ended: balance.Cancelled, callerGone: true},
		{name: "the module's move", do: func(b *bench) { b.t.Migrate() }, laterCaller: "f\r\n", laterHop: "lf\r\nBYE\r\n", toHop: half, toCaller: bye},
	}
	const before, after, refused = "before the answer", "after it", "before it refuses"
	for _, when := range []string{before, after, refused} {
		for _, e := range events {
			t.Run(when+"/"+e.name, func(t *testing.T) {
				b, h := start(t), newHeir(t)
				b.up(t)
				say(t, b.hop, "whole\r\nha")
				b.expect(t, b.fromNode, "whole\r\n")
				say(t, b.caller, "whole\r\nhal")
				b.expect(t, b.fromCaller, "whole\r\n")
				cross := func() {
					say(t, b.caller, e.fromCaller)
					say(t, b.hop, e.fromHop)
					if e.do != nil {
						e.do(b)
					}
				}
				b.t.HandOver(h)
				wait(t, h.asked)
				if string(h.s.FromClient) != "hal" || string(h.s.FromUpstream) != "ha" || h.s.PendingSince.IsZero() {
					t.Errorf("handed over: %q, %q, pending since %v", h.s.FromClient, h.s.FromUpstream, h.s.PendingSince)
				}
				if when != after {
					cross()
				}
				h.takes <- when != refused
				wait(t, b.ended)
				if when == refused {
					if got, err := io.ReadAll(b.fromNode); !e.callerGone && (err != nil || string(got) != "MOVE\r\n") {
						t.Errorf("its caller read %q, %v; want MOVE and its end", got, err)
					}
					if got, _ := io.ReadAll(b.fromCaller); len(got) > 0 {
						t.Errorf("the next hop read %q", got)
					}
					wait(t, h.finished)
					return
				}
				wait(t, b.finished)
				if when == after {
					cross()
				}
				if e.laterCaller != "" {
					say(t, b.caller, e.laterCaller)
				}
				if !e.hopGone {
					got := make([]byte, len(e.toHop))
					if _, err := io.ReadFull(b.fromCaller, got); err != nil || string(got) != e.toHop {
						t.Errorf("the next hop read %q, %v; want %q", got, err, e.toHop)
					}
					say(t, b.hop, e.laterHop)
				}
				if e.callerGone {
					if got, _ := io.ReadAll(b.fromCaller); len(got) > 0 {
						t.Errorf("the next hop read %q as well", got)
					}
				}
				b.hop.Close()
				if got, err := io.ReadAll(b.fromNode); !e.callerGone && (string(got) != e.toCaller || (err != nil) != e.cut) {
					t.Errorf("the caller read %q, %v; want %q", got, err, e.toCaller)
				}
				b.caller.Close()
				if how := wait(t, h.ended); how != e.ended {
					t.Errorf("at the heir it ended as %v, want %v", how, e.ended)
				}
				wait(t, h.finished)
			})
		}
	}
}
