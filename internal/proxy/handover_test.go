package proxy_test

import (
	"io"
	"testing"

	"coralrelay/balance"
)

// The times at which the event of a handoverCase happens.
const (
	beforeAnswer  = "before the answer"
	afterAnswer   = "after the answer"
	beforeRefusal = "before the refusal"
)

// handoverCase is an event during the handover of a session. A partial line of each side was read
// before.
type handoverCase struct {
	name string
	// Written by both sides at the event, and the event that follows.
	clientWrites, upstreamWrites string
	event                        func(t *testing.T, f *fixture)
	// Written by both sides once the owner of the session is decided.
	clientWritesLater, upstreamWritesLater string
	// Everything that each side reads.
	clientReads, upstreamReads string
	outcome                    balance.Outcome
	clientGone, upstreamGone   bool
	clientReset                bool // the client's connection is reset
}

func handoverCases() []handoverCase {
	const half, bye = "half\r\n", "half\r\nBYE\r\n"
	closeClient := func(_ *testing.T, f *fixture) { f.client.Close() }
	resetClient := func(t *testing.T, f *fixture) { reset(t, f.client) }
	closeUpstream := func(_ *testing.T, f *fixture) { f.upstream.Close() }
	resetUpstream := func(t *testing.T, f *fixture) { reset(t, f.upstream) }
	migrate := func(_ *testing.T, f *fixture) { f.session.Migrate() }
	return []handoverCase{
		{name: "nothing", clientWritesLater: "f\r\n", upstreamWritesLater: "lf\r\nBYE\r\n",
			upstreamReads: half, clientReads: bye},
		{name: "the client's line", clientWrites: "f\r\none\r\n", upstreamWritesLater: "lf\r\nBYE\r\n",
			upstreamReads: half + "one\r\n", clientReads: bye},
		{name: "half the client's line", clientWrites: "f", clientWritesLater: "\r\n",
			upstreamWritesLater: "lf\r\nBYE\r\n", upstreamReads: half, clientReads: bye},
		{name: "the upstream's line", upstreamWrites: "lf\r\n", upstreamWritesLater: "BYE\r\n",
			clientWritesLater: "f\r\n", upstreamReads: half, clientReads: bye},
		{name: "half the upstream's line", upstreamWrites: "l", upstreamWritesLater: "f\r\nBYE\r\n",
			clientWritesLater: "f\r\n", upstreamReads: half, clientReads: bye},
		{name: "BYE", upstreamWrites: "lf\r\nBYE\r\n", event: closeUpstream, clientReads: bye,
			upstreamGone: true},
		{name: "MOVE", upstreamWrites: "lf\r\nMOVE\r\n", event: closeUpstream,
			clientReads: half + "MOVE\r\n", outcome: balance.Cancelled, upstreamGone: true},
		{name: "the upstream's end", upstreamWrites: "lf\r\n", event: closeUpstream,
			clientReads: half, outcome: balance.Reset, upstreamGone: true},
		{name: "the upstream's reset", event: resetUpstream, outcome: balance.Reset, upstreamGone: true,
			clientReset: true},
		{name: "the client's end", clientWrites: "f\r\nlast\r\n", event: closeClient,
			upstreamReads: half + "last\r\n", outcome: balance.Cancelled, clientGone: true},
		{name: "the client's reset", event: resetClient, outcome: balance.Cancelled, clientGone: true},
		{name: "a migration", event: migrate, clientWritesLater: "f\r\n",
			upstreamWritesLater: "lf\r\nBYE\r\n", upstreamReads: half, clientReads: bye},
	}
}

// What arrives on a connection during its handover is read once, by the owner of the connection: by
// the successor, whether it arrives before or after the successor's answer, or by this process if
// the successor refuses the session. This process then migrates the client.
func TestNothingIsLostOrDuplicatedDuringHandover(t *testing.T) {
	for _, when := range []string{beforeAnswer, afterAnswer, beforeRefusal} {
		for _, tt := range handoverCases() {
			t.Run(when+"/"+tt.name, func(t *testing.T) {
				f, successor := startSession(t), newFakeSuccessor(t)
				offerWithPartialLines(t, f, successor)
				if when != afterAnswer {
					tt.perform(t, f)
				}
				successor.accepts <- when != beforeRefusal
				receive(t, f.ended)
				if when == beforeRefusal {
					tt.expectMigrated(t, f)
					receive(t, successor.finished)
					return
				}
				receive(t, f.finished)
				if when == afterAnswer {
					tt.perform(t, f)
				}
				tt.expectServedBy(t, f, successor)
			})
		}
	}
}

// offerWithPartialLines hands a session over after a partial line of each side was read.
func offerWithPartialLines(t *testing.T, f *fixture, successor *fakeSuccessor) {
	t.Helper()
	f.establish(t)
	write(t, f.upstream, "whole\r\nha")
	f.expectLine(t, f.clientReader, "whole\r\n")
	write(t, f.client, "whole\r\nhal")
	f.expectLine(t, f.upstreamReader, "whole\r\n")
	f.session.HandOver(successor)
	receive(t, successor.offered)
	state := successor.state
	if string(state.FromClient) != "hal" || string(state.FromUpstream) != "ha" ||
		state.PendingSince.IsZero() {
		t.Errorf("the session was handed over with %q, %q, pending since %v",
			state.FromClient, state.FromUpstream, state.PendingSince)
	}
}

func (c handoverCase) perform(t *testing.T, f *fixture) {
	t.Helper()
	write(t, f.client, c.clientWrites)
	write(t, f.upstream, c.upstreamWrites)
	if c.event != nil {
		c.event(t, f)
	}
}

// expectMigrated checks that this process has migrated the client and relayed nothing.
func (c handoverCase) expectMigrated(t *testing.T, f *fixture) {
	t.Helper()
	if got, err := io.ReadAll(f.clientReader); !c.clientGone && (err != nil || string(got) != "MOVE\r\n") {
		t.Errorf("the client read %q, %v; want MOVE and its end", got, err)
	}
	if got, _ := io.ReadAll(f.upstreamReader); len(got) > 0 {
		t.Errorf("the upstream read %q", got)
	}
}

// expectServedBy checks that the successor serves the session to its end.
func (c handoverCase) expectServedBy(t *testing.T, f *fixture, successor *fakeSuccessor) {
	t.Helper()
	if c.clientWritesLater != "" {
		write(t, f.client, c.clientWritesLater)
	}
	if !c.upstreamGone {
		got := make([]byte, len(c.upstreamReads))
		if _, err := io.ReadFull(f.upstreamReader, got); err != nil || string(got) != c.upstreamReads {
			t.Errorf("the upstream read %q, %v; want %q", got, err, c.upstreamReads)
		}
		write(t, f.upstream, c.upstreamWritesLater)
	}
	if c.clientGone {
		if got, _ := io.ReadAll(f.upstreamReader); len(got) > 0 {
			t.Errorf("the upstream read %q as well", got)
		}
	}
	f.upstream.Close()
	got, err := io.ReadAll(f.clientReader)
	if !c.clientGone && (string(got) != c.clientReads || (err != nil) != c.clientReset) {
		t.Errorf("the client read %q, %v; want %q", got, err, c.clientReads)
	}
	f.client.Close()
	successor.expectOutcome(t, c.outcome)
	receive(t, successor.finished)
}
