package proxy_test

// What comes between two steps of a transaction that stands or is about to.

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"coralrelay/balance"
	"coralrelay/internal/bufconn"
)

// A next hop that says more than a line may have, or never ends its line, was broken off
// by a reset without MOVE, although it still answered.
func TestEndlessLineMoves(t *testing.T) {
	b := start(t)
	b.up(t)
	say(t, b.hop, "whole\r\n"+strings.Repeat("x", bufconn.BufferSize+1))
	b.expect(t, b.fromNode, "whole\r\n")
	b.expect(t, b.fromNode, "MOVE\r\n")
	if how := wait(t, b.ended); how != balance.Reset {
		t.Errorf("ended as %v, want Reset", how)
	}
	b.caller.Close()
	wait(t, b.finished)
}

// What a next hop has on its way when its caller is moved, half a line, does not reset it:
// the caller's last line is read and its end seen, and there is one MOVE.
func TestHalfALineAtTheMove(t *testing.T) {
	for name, says := range map[string]string{"we move": "", "both say it": "MOVE\r\n"} {
		t.Run(name, func(t *testing.T) {
			b := start(t)
			b.up(t)
			say(t, b.caller, "last\r\n")
			b.expect(t, b.fromCaller, "last\r\n")
			say(t, b.hop, says)
			if says != "" {
				b.expect(t, b.fromNode, says)
			}
			b.t.Migrate()
			if says == "" {
				b.expect(t, b.fromNode, "MOVE\r\n")
			}
			for i := range 3 { // the first would tell that nobody reads any more, the next would fail
				if _, err := fmt.Fprintf(b.hop, "half a line %d", i); err != nil && says == "" {
					t.Errorf("piece %d: %v", i, err)
				}
			}
			b.expect(t, b.fromNode, "")   // the end, and no second MOVE
			b.expect(t, b.fromCaller, "") // the end, and no reset
			b.caller.Close()
			b.hop.Close()
			wait(t, b.finished)
		})
	}
}

// Half a line of the caller's at the move takes nothing along: the next hop has whole lines,
// as many as came before its end, and then that end.
func TestCallersHalfLineAtTheMove(t *testing.T) {
	b := start(t)
	b.up(t)
	say(t, b.caller, "whole\r\nhalf a li")
	b.expect(t, b.fromCaller, "whole\r\n")
	b.t.Migrate()
	b.expect(t, b.fromNode, "MOVE\r\n")
	say(t, b.caller, "ne\r\nand more\r\n") // crosses the end of the other leg
	b.expect(t, b.fromNode, "")
	rest, err := io.ReadAll(b.fromCaller)
	if late := "half a line\r\nand more\r\n"; err != nil || !strings.HasPrefix(late, string(rest)) || len(rest) > 0 && rest[len(rest)-1] != '\n' {
		t.Errorf("the next hop read %q, %v", rest, err)
	}
	b.caller.Close()
	wait(t, b.finished)
}

// UP and what ends its connection in one segment: the caller has UP, and then the end.
func TestEndWithUp(t *testing.T) {
	ends := map[string]struct {
		end  func(hop net.Conn)
		want balance.Outcome
	}{
		"ends":     {func(hop net.Conn) { hop.Close() }, balance.Reset},
		"says BYE": {func(hop net.Conn) { fmt.Fprint(hop, "BYE\r\n"); hop.Close() }, balance.OK},
	}
	for name, tt := range ends {
		t.Run(name, func(t *testing.T) {
			b := start(t)
			tt.end(b.hop) // it lies there before anybody is told of UP
			b.up(t)
			if how := wait(t, b.ended); how != tt.want {
				t.Errorf("ended as %v, want %v", how, tt.want)
			}
			b.caller.Close()
			wait(t, b.finished)
		})
	}
}

// A move that is asked for between UP and its relay: UP goes first, then MOVE.
func TestMoveBeforeUpIsTold(t *testing.T) {
	near, caller := pair(t)
	hopNear, hop := pair(t)
	b := newBench(near, caller, hopNear, hop)
	if !b.t.Establish("UP r1", "s1", b.hopLeg) {
		t.Fatal("Up was not taken")
	}
	b.t.Migrate()
	b.t.Migrate()
	b.run()
	b.expect(t, b.fromNode, "UP r1\r\n")
	b.expect(t, b.fromNode, "MOVE\r\n")
	if how := wait(t, b.ended); how != balance.Cancelled {
		t.Errorf("ended as %v", how)
	}
	caller.Close()
	wait(t, b.finished)
}

// Who is given up gets the answer that promises nothing, once, and is forgotten; who is
// answered already stays so.
func TestGiveUp(t *testing.T) {
	b := start(t)
	b.t.GiveUp()
	b.expect(t, b.fromNode, "ERR\r\n")
	wait(t, b.gone)
	wait(t, b.t.Context().Done())
	if b.t.Establish("UP r1", "s1", b.hopLeg) {
		t.Error("an UP was taken for one that was given up")
	}
	b.t.GiveUp() // told a second time, the watcher's channel would be closed twice
	b.expect(t, b.fromNode, "")
	wait(t, b.finished)

	b = start(t)
	b.up(t)
	b.t.GiveUp()
	say(t, b.hop, "yes\r\n")
	b.expect(t, b.fromNode, "yes\r\n")
	b.caller.Close()
	wait(t, b.finished)
}
