package proxy_test

import (
	"io"
	"testing"

	"coralrelay/balance"
)

// When the event of a handoverCase happens.
const (
	beforeAnswer  = "before the answer"
	afterAnswer   = "after it"
	beforeRefusal = "before it refuses"
)

// handoverCase is what happens while a session is handed over. Of both sides half a line
// was read before.
type handoverCase struct {
	name string
	// What both sides write at the event, and what happens then.
	clientWrites, upstreamWrites string
	event                        func(t *testing.T, b *fixture)
	// What they write once the session has its owner again.
	clientWritesLater, upstreamWritesLater string
	// All that either side reads.
	clientReads, upstreamReads string
	outcome                    balance.Outcome
	clientGone, upstreamGone   bool
	clientReset                bool // the client's connection is reset
}

func handoverCases() []handoverCase {
	const half, bye = "half\r\n", "half\r\nBYE\r\n"
	closeClient := func(_ *testing.T, b *fixture) { b.client.Close() }
	resetClient := func(t *testing.T, b *fixture) { reset(t, b.client) }
	closeUpstream := func(_ *testing.T, b *fixture) { b.upstream.Close() }
	resetUpstream := func(t *testing.T, b *fixture) { reset(t, b.upstream) }
	migrate := func(_ *testing.T, b *fixture) { b.session.Migrate() }
	return []handoverCase{
		{name: "nothing", clientWritesLater: "f\r\n", upstreamWritesLater: "lf\r\nBYE\r\n",
			upstreamReads: half, clientReads: bye},
		{name: "the client's line", clientWrites: "f\r\none\r\n", upstreamWritesLater: "lf\r\nBYE\r\n",
			upstreamReads: half + "one\r\n", clientReads: bye},
		{name: "half the client's line", clientWrites: "f", clientWritesLater: "\r\n", upstreamWritesLater: "lf\r\nBYE\r\n",
			upstreamReads: half, clientReads: bye},
		{name: "the upstream's line", upstreamWrites: "lf\r\n", upstreamWritesLater: "BYE\r\n", clientWritesLater: "f\r\n",
			upstreamReads: half, clientReads: bye},
		{name: "half the upstream's line", upstreamWrites: "l", upstreamWritesLater: "f\r\nBYE\r\n",
			clientWritesLater: "f\r\n", upstreamReads: half, clientReads: bye},
		{name: "BYE", upstreamWrites: "lf\r\nBYE\r\n", event: closeUpstream, clientReads: bye, upstreamGone: true},
		{name: "MOVE", upstreamWrites: "lf\r\nMOVE\r\n", event: closeUpstream,
			clientReads: half + "MOVE\r\n", outcome: balance.Cancelled, upstreamGone: true},
		{name: "the upstream's end", upstreamWrites: "lf\r\n", event: closeUpstream,
			clientReads: half, outcome: balance.Reset, upstreamGone: true},
		{name: "the upstream's reset", event: resetUpstream, outcome: balance.Reset, upstreamGone: true, clientReset: true},
		{name: "the client's end", clientWrites: "f\r\nlast\r\n", event: closeClient,
			upstreamReads: half + "last\r\n", outcome: balance.Cancelled, clientGone: true},
		{name: "the client's reset", event: resetClient, outcome: balance.Cancelled, clientGone: true},
		{name: "a migration", event: migrate, clientWritesLater: "f\r\n", upstreamWritesLater: "lf\r\nBYE\r\n",
			upstreamReads: half, clientReads: bye},
	}
}

// What arrives on a connection while it is handed over arrives once, and at its one owner:
// the successor, whether it came before that had answered or after, or this process where
// the successor refuses, which then migrates the client.
func TestNothingIsLostOrDuplicatedDuringHandover(t *testing.T) {
	for _, when := range []string{beforeAnswer, afterAnswer, beforeRefusal} {
		for _, tt := range handoverCases() {
			t.Run(when+"/"+tt.name, func(t *testing.T) {
				b, successor := startSession(t), newFakeSuccessor(t)
				offerWithHalfLines(t, b, successor)
				if when != afterAnswer {
					tt.happen(t, b)
				}
				successor.accepts <- when != beforeRefusal
				receive(t, b.ended)
				if when == beforeRefusal {
					tt.expectMigrated(t, b)
					receive(t, successor.finished)
					return
				}
				receive(t, b.finished)
				if when == afterAnswer {
					tt.happen(t, b)
				}
				tt.expectServedBy(t, b, successor)
			})
		}
	}
}

// offerWithHalfLines hands a session over when half a line of both sides was read.
func offerWithHalfLines(t *testing.T, b *fixture, successor *fakeSuccessor) {
	t.Helper()
	b.establish(t)
	write(t, b.upstream, "whole\r\nha")
	b.expectLine(t, b.clientReader, "whole\r\n")
	write(t, b.client, "whole\r\nhal")
	b.expectLine(t, b.upstreamReader, "whole\r\n")
	b.session.HandOver(successor)
	receive(t, successor.offered)
	state := successor.state
	if string(state.FromClient) != "hal" || string(state.FromUpstream) != "ha" || state.PendingSince.IsZero() {
		t.Errorf("handed over: %q, %q, pending since %v", state.FromClient, state.FromUpstream, state.PendingSince)
	}
}

func (c handoverCase) happen(t *testing.T, b *fixture) {
	t.Helper()
	write(t, b.client, c.clientWrites)
	write(t, b.upstream, c.upstreamWrites)
	if c.event != nil {
		c.event(t, b)
	}
}

// expectMigrated checks that this process has migrated the client and relayed nothing.
func (c handoverCase) expectMigrated(t *testing.T, b *fixture) {
	t.Helper()
	if got, err := io.ReadAll(b.clientReader); !c.clientGone && (err != nil || string(got) != "MOVE\r\n") {
		t.Errorf("the client read %q, %v; want MOVE and its end", got, err)
	}
	if got, _ := io.ReadAll(b.upstreamReader); len(got) > 0 {
		t.Errorf("the upstream read %q", got)
	}
}

// expectServedBy checks that the successor serves the session to its end.
func (c handoverCase) expectServedBy(t *testing.T, b *fixture, successor *fakeSuccessor) {
	t.Helper()
	if c.clientWritesLater != "" {
		write(t, b.client, c.clientWritesLater)
	}
	if !c.upstreamGone {
		got := make([]byte, len(c.upstreamReads))
		if _, err := io.ReadFull(b.upstreamReader, got); err != nil || string(got) != c.upstreamReads {
			t.Errorf("the upstream read %q, %v; want %q", got, err, c.upstreamReads)
		}
		write(t, b.upstream, c.upstreamWritesLater)
	}
	if c.clientGone {
		if got, _ := io.ReadAll(b.upstreamReader); len(got) > 0 {
			t.Errorf("the upstream read %q as well", got)
		}
	}
	b.upstream.Close()
	got, err := io.ReadAll(b.clientReader)
	if !c.clientGone && (string(got) != c.clientReads || (err != nil) != c.clientReset) {
		t.Errorf("the client read %q, %v; want %q", got, err, c.clientReads)
	}
	b.client.Close()
	successor.expectOutcome(t, c.outcome)
	receive(t, successor.finished)
}
