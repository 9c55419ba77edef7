package main

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"path/filepath"

	"coralrelay/internal/fleet/account"
	"coralrelay/internal/keyfile"
)

// accountKeyCmd implements "account key", which creates a key that signs changes.
type accountKeyCmd struct {
	File string `arg:"" help:"The file to write; it must not exist."`
}

func (c *accountKeyCmd) Run() error {
	path, publicKey, err := keyfile.CreateAuthority(filepath.Dir(c.File), filepath.Base(c.File))
	if err != nil {
		return err
	}
	fmt.Printf("key %s in %s\npublic %s\n",
		account.KeyName(publicKey), path, base64.StdEncoding.EncodeToString(publicKey))
	return nil
}

// accountGrantCmd implements "account grant", which gives a key permissions on a subtree.
type accountGrantCmd struct {
	Path            string   `arg:"" help:"Path of the root of the subtree."`
	PublicKey       string   `name:"public" arg:"" help:"The public key, as 'coralctl account key' prints it."`
	Permissions     []string `name:"acts" required:"" help:"Permissions: one or more of routes, limits, teams, grants, contracts."`
	DelegationDepth int      `name:"depth" default:"0" help:"How many levels of delegation the grant allows."`
	changeFlags
}

func (c *accountGrantCmd) Run() error {
	publicKey, err := base64.StdEncoding.DecodeString(c.PublicKey)
	if err != nil || len(publicKey) != ed25519.PublicKeySize {
		return fmt.Errorf("public %.60q: want %d bytes in base64", c.PublicKey, ed25519.PublicKeySize)
	}
	grant := &account.Grant{
		Key:             account.KeyName(publicKey),
		PublicKey:       publicKey,
		Permissions:     c.Permissions,
		DelegationDepth: c.DelegationDepth,
	}
	return c.submitOps(account.Op{Kind: account.CreateGrant, Path: c.Path, Grant: grant})
}

// accountRevokeCmd implements "account revoke", which revokes a grant and all grants delegated
// from it.
type accountRevokeCmd struct {
	Path string `arg:"" help:"Path of the grant."`
	Name string `arg:"" help:"The key's name, as 'coralctl account list' prints it."`
	changeFlags
}

func (c *accountRevokeCmd) Run() error {
	return c.submitOps(account.Op{Kind: account.RevokeGrant, Path: c.Path, Name: c.Name})
}
