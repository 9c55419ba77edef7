package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"

	"coralrelay/internal/keyfile"
	"coralrelay/internal/operatorconfig"
	"coralrelay/internal/replayguard"
	"coralrelay/internal/resumption"
	"coralrelay/internal/store"
)

// resumption is moving with a resume token, where it is switched on; nil where it
// is not.
type tokenResumption struct {
	service  *replayguard.Service
	sessions resumption.Factory
}

// startResume starts it, if the operator's file says so.
func startResume(ctx context.Context, parts *sync.WaitGroup, name string, o operatorconfig.Resume) (*tokenResumption, error) {
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
	l, err := replayguard.Open(replayguard.Options{Dir: o.ReplayGuard.Dir, MaxRecords: o.ReplayGuard.Records, ClockSkew: o.ClockSkew.Duration})
	switch {
	case errors.Is(err, store.ErrLocked): // two nodes with one folder would never do
		return nil, fmt.Errorf("resume.ledger.dir: %w", err)
	case err != nil:
		// A disk that is full or read-only must not keep the node from serving.
		slog.Error("resume.ledger.dir: tokens that this node arbitrates are not honoured", "err", err)
		l = replayguard.NewUnavailable()
	}
	s := replayguard.NewService(name, l, terms, o.ReplayGuard.Peers)
	if o.ReplayGuard.Listen != "" {
		listener, err := net.Listen("tcp", o.ReplayGuard.Listen)
		if err != nil {
			return nil, fmt.Errorf("resume.ledger.listen: %w", err)
		}
		answers := &replayguard.Server{Name: name, Guard: l, KeyRing: s.KeyRing}
		parts.Go(func() { _ = answers.Serve(ctx, listener) })
	}
	parts.Go(func() { l.Run(ctx) })
	parts.Go(func() { s.Run(ctx) })
	slog.Info("resume tokens on", "ledger", fmt.Sprintf("%x", l.ID), "kept", l.RecordCount(), "survives", l.IsDurable, "peers", len(o.ReplayGuard.Peers))
	return &tokenResumption{service: s, sessions: resumption.Factory{Tokens: s}}, nil
}

func terms(o operatorconfig.Resume) (replayguard.ServiceConfig, error) {
	ring, err := keyfile.Load(o.Keys)
	if err != nil {
		return replayguard.ServiceConfig{}, fmt.Errorf("resume.keys: %w", err)
	}
	return replayguard.ServiceConfig{KeyRing: ring, TokenLifetime: o.TokenTTL.Duration, ClockSkew: o.ClockSkew.Duration, ArbiterTimeout: o.ArbiterTimeout.Duration}, nil
}

// change takes other keys and times.
func (r *tokenResumption) change(o operatorconfig.Resume) error {
	if r == nil || !o.Enabled {
		return nil
	}
	t, err := terms(o)
	if err == nil {
		r.service.UpdateConfig(t)
	}
	return err
}

// leave tells that the node is about to end.
func (r *tokenResumption) leave() {
	if r != nil {
		r.service.BeginDraining()
	}
}
