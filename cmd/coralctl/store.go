package main

import (
	"fmt"
	"time"

	"coralrelay/internal/replayguard"
	"coralrelay/internal/resumetoken"
	"coralrelay/internal/store"
)

// storeCmd implements "store", the commands on store files.
type storeCmd struct {
	ReplayGuard storeReplayGuardCmd `cmd:"" name:"ledger" help:"Show the number of spent tokens in a ledger."`
}

// storeReplayGuardCmd implements "store ledger", which prints the number of spent resume tokens
// in a replay guard's file.
type storeReplayGuardCmd struct {
	File string `arg:"" help:"The ledger's file, ledger.db."`
}

func (c *storeReplayGuardCmd) Run() error {
	opened, err := store.Open(c.File, replayguard.Schema, store.Options{ReadOnly: true})
	if err != nil {
		return err
	}
	defer func() { _ = opened.Close() }()
	fmt.Printf("ledger %v, layout %d, %d bytes\n", opened.ID, opened.Layout(), opened.Size())
	total := 0
	err = opened.View(func(tx *store.Tx) error {
		return replayguard.ForEachWindow(tx, func(window resumetoken.Window, spent int) {
			total += spent
			fmt.Printf("  expire by %s: %d spent\n", window.End().Format(time.RFC3339), spent)
		})
	})
	fmt.Printf("%d spent tokens\n", total)
	return err
}
