package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"

	"coralrelay/internal/keyfile"
	"coralrelay/internal/ledger"
	"coralrelay/internal/operator"
	"coralrelay/internal/session"
	"coralrelay/internal/store"
)

// resumption is moving with a resume token, where it is switched on; nil where it
// is not.
type resumption struct {
	service  *ledger.Service
	sessions session.Sessions
}

// startResume starts it, if the operator's file says so.
func startResume(ctx context.Context, parts *sync.WaitGroup, name string, o operator.Resume) (*resumption, error) {
	if !o.Enabled {
		return nil, nil
	}
	if name == "" {
		return nil, fmt.Errorf("resume.enabled: the node has no name (BALANCER_NAME)")
	}
	terms, err := terms(o)
	if err != nil {
		return nil, err
	}
	l, err := ledger.Open(ledger.Options{Dir: o.Ledger.Dir, Records: o.Ledger.Records, Skew: o.Skew.Duration})
	switch {
	case errors.Is(err, store.ErrHeld): // two nodes with one folder would never do
		return nil, fmt.Errorf("resume.ledger.dir: %w", err)
	case err != nil:
		// A disk that is full or read-only must not keep the node from serving.
		slog.Error("resume.ledger.dir: tokens that this node arbitrates are not honoured", "err", err)
		l = ledger.Broke()
	}
	s := ledger.NewService(name, l, terms, o.Ledger.Peers)
	if o.Ledger.Listen != "" {
		listener, err := net.Listen("tcp", o.Ledger.Listen)
		if err != nil {
			return nil, fmt.Errorf("resume.ledger.listen: %w", err)
		}
		answers := &ledger.Server{Name: name, Ledger: l, Ring: s.Ring}
		parts.Go(func() { _ = answers.Serve(ctx, listener) })
	}
	parts.Go(func() { l.Run(ctx) })
	parts.Go(func() { s.Run(ctx) })
	slog.Info("resume tokens on", "ledger", fmt.Sprintf("%x", l.ID), "kept", l.Kept(), "survives", l.Stays, "peers", len(o.Ledger.Peers))
	return &resumption{service: s, sessions: session.Sessions{Tokens: s}}, nil
}

func terms(o operator.Resume) (ledger.Terms, error) {
	ring, err := keyfile.Load(o.Keys)
	if err != nil {
		return ledger.Terms{}, fmt.Errorf("resume.keys: %w", err)
	}
	return ledger.Terms{Ring: ring, Life: o.Life.Duration, Skew: o.Skew.Duration, Wait: o.Wait.Duration}, nil
}

// change takes other keys and times.
func (r *resumption) change(o operator.Resume) error {
	if r == nil || !o.Enabled {
		return nil
	}
	t, err := terms(o)
	if err == nil {
		r.service.Change(t)
	}
	return err
}

// leave tells that the node is about to end.
func (r *resumption) leave() {
	if r != nil {
		r.service.Leave()
	}
}
