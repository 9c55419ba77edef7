package main

import (
	"fmt"
	"time"

	"coralrelay/internal/keyfile"
)

// keyCmd implements "key", the commands on keys for resume tokens.
type keyCmd struct {
	New  keyNewCmd  `cmd:"" help:"Create a key for resume tokens."`
	List keyListCmd `cmd:"" help:"List a directory's keys without their secrets."`
}

// keyNewCmd implements "key new", which creates a key for resume tokens.
type keyNewCmd struct {
	Folder       string        `name:"folder" arg:"" help:"The directory that resume.keys names."`
	SigningDelay time.Duration `name:"signs-in" default:"10m" help:"Delay before the key begins to sign; the first key signs at once. Before then, every node must have the key and must have received SIGHUP."`
}

func (c *keyNewCmd) Run() error {
	if !keyfile.HasKeys(c.Folder) {
		c.SigningDelay = 0
	}
	path, id, err := keyfile.Create(c.Folder, time.Now().Add(c.SigningDelay))
	if err != nil {
		return err
	}
	fmt.Printf("key %v in %s, signs in %v\n", id, path, c.SigningDelay)
	return nil
}

// keyListCmd implements "key list", which prints the use of each key without its secret.
type keyListCmd struct {
	Folder string `name:"folder" arg:"" help:"The directory that resume.keys names."`
}

func (c *keyListCmd) Run() error {
	ring, err := keyfile.Load(c.Folder)
	if err != nil {
		return err
	}
	signingKey, _ := ring.SigningKey(time.Now())
	for _, key := range ring.Keys() {
		use := "verifies"
		if key == signingKey {
			use = "signs"
		} else if key.SigningStartsAt.After(time.Now()) {
			use = "verifies, will sign"
		}
		fmt.Printf("%v  from %s  %s\n", key.ID, key.SigningStartsAt.Format(time.RFC3339), use)
	}
	return nil
}
