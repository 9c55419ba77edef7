// Package config is the one place where the node's environment and the platform's
// configuration file are read, checked and given defaults. It starts no goroutine; its
// errors begin with the variable or key at fault.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"

	"coralrelay/balance"
	"coralrelay/internal/discovery"
	"coralrelay/internal/settings"
)

// Config is the configuration that a node is started with.
type Config struct {
	Name            string
	Listen          string
	Discovery       string
	AdminAddr       string // where operators call; empty for nowhere
	InheritedFD     int    // the descriptor of the listening socket for clients; 0 if there is none
	Seed            uint64
	Limits          Limits
	CachedEndpoints discovery.Update // the list that this node had last; may be old
	Settings        balance.Settings

	fileKeys map[string]any // the file's keys as they are nested, to compare with those of a reload
}

// Limits are those of the node on its machine.
type Limits struct {
	Cores    float64 // threads that may run Go code
	MemoryMB int     // MiB of resident memory
	Sockets  int     // open at once
}

// Defaults and bounds.
const (
	defaultCores    = 1.0
	defaultMemoryMB = 256
	defaultSockets  = 1024
	minMemoryMB     = 16
	minSockets      = 64
	// maxDeadlineSeconds and maxAttemptsLimit are the most that settings may ask for.
	maxDeadlineSeconds = 86400.0 // seconds
	maxAttemptsLimit   = 1e6
)

// Environment variables; one that is set wins over its key in the file.
const (
	fileVariable      = "BALANCER_CONFIG"
	nameVariable      = "BALANCER_NAME"
	listenVariable    = "BALANCER_LISTEN"
	discoveryVariable = "BALANCER_DISCOVERY" // at the start only
	adminVariable     = "BALANCER_MGMT"
	inheritedVariable = "BALANCER_INHERITED_FD"
)

// document is the form of the file that BALANCER_CONFIG names.
type document struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Admin     string `json:"mgmt"`
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    *float64 `json:"cores"`
		MemoryMB *int     `json:"memory_mb"`
		Sockets  *int     `json:"sockets"`
	} `json:"limits"`
	Known    json.RawMessage `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

// Load reads the environment through getenv, and the file that it names. The environment's
// values win. Errors begin with the variable or key at fault.
func Load(getenv func(string) string) (Config, error) {
	path := getenv(fileVariable)
	if path == "" {
		return Config{}, errors.New(fileVariable + ": not set")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("%s: %w", fileVariable, err)
	}
	return parse(raw, getenv)
}

// parse parses and checks a file's text.
func parse(raw []byte, getenv func(string) string) (Config, error) {
	var f document
	if err := json.Unmarshal(raw, &f); err != nil {
		var wrong *json.UnmarshalTypeError
		if errors.As(err, &wrong) && wrong.Field != "" {
			return Config{}, fmt.Errorf("%s: %w", wrong.Field, err)
		}
		return Config{}, fmt.Errorf("%s: %w", fileVariable, err)
	}
	c, err := f.toConfig(getenv)
	if err != nil {
		return c, err
	}
	if err := json.Unmarshal(raw, &c.fileKeys); err != nil {
		return c, fmt.Errorf("%s: %w", fileVariable, err)
	}
	if c.fileKeys["known"] != nil {
		c.fileKeys["known"] = "" // a list with a form of its own, which is checked by itself
	}
	return c, nil
}

// toConfig checks the file's values and fills in those of the environment.
func (f *document) toConfig(getenv func(string) string) (Config, error) {
	c := Config{Name: firstNonEmpty(getenv(nameVariable), f.Name)}
	var err error
	if c.Listen, err = address("listen", listenVariable, f.Listen, getenv); err != nil {
		return c, err
	}
	if c.Discovery, err = address("discovery", discoveryVariable, f.Discovery, getenv); err != nil {
		return c, err
	}
	if f.Admin != "" || getenv(adminVariable) != "" {
		if c.AdminAddr, err = address("mgmt", adminVariable, f.Admin, getenv); err != nil {
			return c, err
		}
	}
	if fd := getenv(inheritedVariable); fd != "" {
		if c.InheritedFD, err = strconv.Atoi(fd); err != nil || c.InheritedFD <= 2 {
			return c, fmt.Errorf("%s: %q is no descriptor above 2", inheritedVariable, fd)
		}
	}
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return c, fmt.Errorf("seed: %w", err)
	}
	if c.Limits, err = f.limits(); err != nil {
		return c, err
	}
	if len(f.Known) > 0 && string(f.Known) != "null" {
		if c.CachedEndpoints, err = discovery.Decode(f.Known); err != nil {
			return c, fmt.Errorf("known: %w", err)
		}
	}
	if len(f.Settings) == 0 || string(f.Settings) == "null" {
		return c, errors.New("settings: missing")
	}
	if c.Settings, err = settings.Decode(f.Settings); err != nil {
		return c, err
	}
	if err := checkSettings(f.Settings, &c.Settings); err != nil {
		return c, fmt.Errorf("settings.%w", err)
	}
	return c, nil
}

// address returns the address under key, or that of a variable that is set.
func address(key, variable, inFile string, getenv func(string) string) (string, error) {
	addr := inFile
	if v := getenv(variable); v != "" {
		key, addr = variable, v
	}
	if addr == "" {
		return "", fmt.Errorf("%s: missing", key)
	}
	if _, _, err := net.SplitHostPort(addr); err != nil {
		return "", fmt.Errorf("%s: %w", key, err)
	}
	return addr, nil
}

func firstNonEmpty(words ...string) string {
	for _, w := range words {
		if w != "" {
			return w
		}
	}
	return ""
}
