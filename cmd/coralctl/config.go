package main

import (
	"fmt"
	"os"

	"coralrelay/internal/inputlimit"
	"coralrelay/internal/operatorconfig"
	"coralrelay/internal/operatorconfig/schema"
)

// configFileArg is the positional argument that names an operator's file.
type configFileArg struct {
	File string `arg:"" help:"The operator's file, CUE or JSON."`
}

// exportJSON returns the file as complete JSON. The error is an *os.PathError or an *inputlimit.Error if the
// file can't be read, and names the line and the key if the file is invalid.
func (a *configFileArg) exportJSON() ([]byte, error) {
	source, err := inputlimit.ReadFile(a.File, operatorconfig.MaxFileBytes)
	if err != nil {
		return nil, err
	}
	return schema.Export(a.File, source)
}

// checkCmd implements "check", which validates an operator's file.
type checkCmd struct{ configFileArg }

func (c *checkCmd) Run() error {
	if _, err := c.exportJSON(); err != nil {
		return err
	}
	fmt.Println(c.File + ": ok")
	return nil
}

// exportCmd implements "export", which prints an operator's file as complete JSON.
type exportCmd struct{ configFileArg }

func (c *exportCmd) Run() error {
	exported, err := c.exportJSON()
	if err != nil {
		return err
	}
	fmt.Println(string(exported))
	return nil
}

// explainCmd implements "explain", which lists the keys of an operator's file with their
// descriptions.
type explainCmd struct {
	Key string `arg:"" optional:"" help:"A key or a prefix, such as resume.ledger."`
}

func (c *explainCmd) Run() error {
	keys, err := schema.Keys(c.Key)
	if err != nil {
		return err
	}
	rows := newTable(os.Stdout)
	for _, key := range keys {
		rows.printf("%s\t%s\t%s\n", key.Name, key.Type, key.About)
	}
	return rows.flush()
}
