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
	service *replayguard.Service
	factory resumption.Factory
}

// startResume starts it, if the operator's file says so.
func startTokenResumption(ctx context.Context, goroutines *sync.WaitGroup, name string, options operatorconfig.Resume) (*tokenResumption, error) {
	if !options.Enabled {
		return nil, nil
	}
	if name == "" {
		return nil, fmt.Errorf("resume.enabled: the node has no name (BALANCER_NAME)")
	}
	serviceConfig, err := loadServiceConfig(options)
	if err != nil {
		return nil, err
	}
	guard, err := replayguard.Open(replayguard.Options{Dir: options.ReplayGuard.Dir, MaxRecords: options.ReplayGuard.Records, ClockSkew: options.ClockSkew.Duration})
	switch {
	case errors.Is(err, store.ErrLocked): // two nodes with one folder would never do
		return nil, fmt.Errorf("resume.ledger.dir: %w", err)
	case err != nil:
		// A disk that is full or read-only must not keep the node from serving.
		slog.Error("resume.ledger.dir: tokens that this node arbitrates are not honoured", "err", err)
		guard = replayguard.NewUnavailable()
	}
	service := replayguard.NewService(name, guard, serviceConfig, options.ReplayGuard.Peers)
	if options.ReplayGuard.Listen != "" {
		listener, err := net.Listen("tcp", options.ReplayGuard.Listen)
		if err != nil {
			return nil, fmt.Errorf("resume.ledger.listen: %w", err)
		}
		server := &replayguard.Server{Name: name, Guard: guard, KeyRing: service.KeyRing}
		goroutines.Go(func() { _ = server.Serve(ctx, listener) })
	}
	goroutines.Go(func() { guard.Run(ctx) })
	goroutines.Go(func() { service.Run(ctx) })
	slog.Info("resume tokens on", "ledger", fmt.Sprintf("%x", guard.ID), "kept", guard.RecordCount(), "survives", guard.IsDurable, "peers", len(options.ReplayGuard.Peers))
	return &tokenResumption{service: service, factory: resumption.Factory{Tokens: service}}, nil
}

func loadServiceConfig(options operatorconfig.Resume) (replayguard.ServiceConfig, error) {
	ring, err := keyfile.Load(options.Keys)
	if err != nil {
		return replayguard.ServiceConfig{}, fmt.Errorf("resume.keys: %w", err)
	}
	return replayguard.ServiceConfig{KeyRing: ring, TokenLifetime: options.TokenTTL.Duration, ClockSkew: options.ClockSkew.Duration, ArbiterTimeout: options.ArbiterTimeout.Duration}, nil
}

// change takes other keys and times.
func (r *tokenResumption) updateConfig(options operatorconfig.Resume) error {
	if r == nil || !options.Enabled {
		return nil
	}
	serviceConfig, err := loadServiceConfig(options)
	if err == nil {
		r.service.UpdateConfig(serviceConfig)
	}
	return err
}

// leave tells that the node is about to end.
func (r *tokenResumption) beginDraining() {
	if r != nil {
		r.service.BeginDraining()
	}
}
