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

// tokenResumption lets migrated clients resume their streams with a token. It is nil if the feature is
// disabled.
type tokenResumption struct {
	service *replayguard.Service
	factory resumption.Factory
}

// startTokenResumption starts token resumption, if the operator's file enables it. Its goroutines end with
// ctx.
func startTokenResumption(
	ctx context.Context, goroutines *sync.WaitGroup, name string, options operatorconfig.Resume,
) (*tokenResumption, error) {
	if !options.Enabled {
		return nil, nil
	}
	if name == "" {
		return nil, errors.New("resume.enabled: the node has no name (BALANCER_NAME)")
	}
	serviceConfig, err := loadServiceConfig(options)
	if err != nil {
		return nil, err
	}
	guard, err := openReplayGuard(options)
	if err != nil {
		return nil, err
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
	slog.Info("resume tokens enabled", "component", componentResumption, "replay_guard", fmt.Sprintf("%x", guard.ID),
		"records", guard.RecordCount(), "durable", guard.IsDurable, "peers", len(options.ReplayGuard.Peers))
	return &tokenResumption{service: service, factory: resumption.Factory{Tokens: service}}, nil
}

// openReplayGuard opens the store of spent tokens. If the store can't be opened, for instance because
// the disk is full or read-only, the node serves without it. If another process holds the store,
// openReplayGuard fails and the node does not start, since two nodes must never share a directory.
func openReplayGuard(options operatorconfig.Resume) (*replayguard.Guard, error) {
	guard, err := replayguard.Open(replayguard.Options{
		Dir:        options.ReplayGuard.Dir,
		MaxRecords: options.ReplayGuard.Records,
		ClockSkew:  options.ClockSkew.Duration,
	})
	switch {
	case errors.Is(err, store.ErrLocked):
		return nil, fmt.Errorf("resume.ledger.dir: %w", err)
	case err != nil:
		slog.Error("replay guard unavailable, tokens that this node arbitrates are rejected",
			"component", componentResumption, "key", "resume.ledger.dir", "error", err)
		return replayguard.NewUnavailable(), nil
	}
	return guard, nil
}

// loadServiceConfig loads the keys from their directory and the durations from the options.
func loadServiceConfig(options operatorconfig.Resume) (replayguard.ServiceConfig, error) {
	ring, err := keyfile.Load(options.KeyDir)
	if err != nil {
		return replayguard.ServiceConfig{}, fmt.Errorf("resume.keys: %w", err)
	}
	return replayguard.ServiceConfig{
		KeyRing:        ring,
		TokenLifetime:  options.TokenTTL.Duration,
		ClockSkew:      options.ClockSkew.Duration,
		ArbiterTimeout: options.ArbiterTimeout.Duration,
	}, nil
}

// updateConfig loads the keys and durations again. If it returns an error, the old ones stay in force.
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

// beginDraining makes peers the arbiters of the tokens that are minted from now on, because this node is
// about to end.
func (r *tokenResumption) beginDraining() {
	if r != nil {
		r.service.BeginDraining()
	}
}
