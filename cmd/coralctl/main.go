// Command coralctl is for people: it checks, explains and exports an operator's
// file, makes keys and looks into a store.
package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"

	"coralrelay/internal/keyfile"
	"coralrelay/internal/operatorconfig/schema"
	"coralrelay/internal/replayguard"
	"coralrelay/internal/resumetoken"
	"coralrelay/internal/store"
)

// unusable is the exit code for a file that can't be used.
const exitUnusable = 2

type cli struct {
	Check   checkCmd   `cmd:"" help:"Check an operator's file; exit 2 names file, line, key, what was found and what is allowed."`
	Explain explainCmd `cmd:"" help:"List the keys of an operator's file, or those below a prefix."`
	Export  exportCmd  `cmd:"" help:"Print an operator's file as complete JSON, as the node reads it."`
	Key     struct {
		New  keyNewCmd  `cmd:"" help:"Make a key for resume tokens."`
		List keyListCmd `cmd:"" help:"List a folder's keys, not their secrets."`
	} `cmd:"" help:"Keys for resume tokens."`
	Store struct {
		Ledger storeReplayGuardCmd `name:"ledger" cmd:"" help:"Show a ledger of spent tokens."`
	} `cmd:"" help:"Look into a store that no node has open."`
	Fleet   fleetCmd   `cmd:"" help:"Ask the agent beside a node."`
	Account accountCmd `cmd:"" help:"Accounts, teams and who may change what, through the agent beside a node."`
	Route   routeCmd   `cmd:"" help:"Routes of accounts and teams."`
}

// A fileArg is a file of the operator's.
type configFileArg struct {
	File string `arg:"" help:"The operator's file, CUE or JSON."`
}

func (f *configFileArg) exportJSON() ([]byte, error) {
	src, err := os.ReadFile(f.File)
	if err != nil {
		return nil, err
	}
	return schema.Export(f.File, src)
}

type checkCmd struct{ configFileArg }

func (c *checkCmd) Run() error {
	if _, err := c.exportJSON(); err != nil {
		return err
	}
	fmt.Println(c.File + ": ok")
	return nil
}

type exportCmd struct{ configFileArg }

func (c *exportCmd) Run() error {
	raw, err := c.exportJSON()
	if err == nil {
		fmt.Println(string(raw))
	}
	return err
}

type explainCmd struct {
	Key string `arg:"" optional:"" help:"A key or the beginning of one, such as resume.ledger."`
}

func (c *explainCmd) Run() error {
	keys, err := schema.Keys(c.Key)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	for _, k := range keys {
		fmt.Fprintf(w, "%s\t%s\t%s\n", k.Name, k.Type, k.About)
	}
	return w.Flush()
}

type keyNewCmd struct {
	Folder       string        `name:"folder" arg:"" help:"The folder that resume.keys names."`
	SigningDelay time.Duration `name:"signs-in" default:"10m" help:"When it begins to sign; the first key does at once. Until then every node must have it and have been sent SIGHUP."`
}

func (c *keyNewCmd) Run() error {
	if !keyfile.HasKeys(c.Folder) {
		c.SigningDelay = 0
	}
	path, id, err := keyfile.Create(c.Folder, time.Now().Add(c.SigningDelay))
	if err == nil {
		fmt.Printf("key %v in %s, signs in %v\n", id, path, c.SigningDelay)
	}
	return err
}

type keyListCmd struct {
	Folder string `name:"folder" arg:"" help:"The folder that resume.keys names."`
}

func (c *keyListCmd) Run() error {
	ring, err := keyfile.Load(c.Folder)
	if err != nil {
		return err
	}
	signer, _ := ring.SigningKey(time.Now())
	for _, k := range ring.Keys() {
		state := "verifies"
		if k == signer {
			state = "signs"
		} else if k.SigningStartsAt.After(time.Now()) {
			state = "verifies, will sign"
		}
		fmt.Printf("%v  from %s  %s\n", k.ID, k.SigningStartsAt.Format(time.RFC3339), state)
	}
	return nil
}

type storeReplayGuardCmd struct {
	File string `arg:"" help:"The ledger's file, ledger.db."`
}

func (c *storeReplayGuardCmd) Run() error {
	s, err := store.Open(c.File, replayguard.Schema, store.Options{ReadOnly: true})
	if err != nil {
		return err
	}
	defer func() { _ = s.Close() }()
	fmt.Printf("ledger %v, layout %d, %d bytes\n", s.ID, s.Layout(), s.Size())
	total := 0
	err = s.View(func(tx *store.Tx) error {
		return replayguard.ForEachWindow(tx, func(w resumetoken.Window, spent int) {
			total += spent
			fmt.Printf("  expire by %s: %d spent\n", w.End().Format(time.RFC3339), spent)
		})
	})
	fmt.Printf("%d spent tokens\n", total)
	return err
}

func main() {
	os.Exit(run())
}

func run() int {
	var c cli
	k := kong.Parse(&c, kong.Name("coralctl"), kong.UsageOnError(),
		kong.Description("Check operator's files, make keys, look into stores, ask agents."))
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		var missing *os.PathError
		var away *net.OpError
		if errors.As(err, &missing) || errors.As(err, &away) {
			return 1
		}
		return exitUnusable
	}
	return 0
}
