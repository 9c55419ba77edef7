// Package config is the one place where the node's environment and its
// configuration are read, checked and given defaults.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"reflect"
	"slices"
	"strconv"

	"coralrelay/balance"
	"coralrelay/internal/roster"
	"coralrelay/internal/settings"
)

// Config is what the node is told at its start.
type Config struct {
	Name      string
	Listen    string
	Discovery string
	Mgmt      string // where operators call; empty for nowhere
	Inherited int    // the descriptor of the listening socket for clients; 0 if there is none
	Seed      uint64
	Limits    Limits
	Known     roster.Update // the list that this node had last; may be old
	Settings  balance.Settings
}

// Limits are those of the node's machine.
type Limits struct {
	Cores    float64
	MemoryMB int
	Sockets  int
}

// The defaults, for a node that is told nothing else.
const (
	defaultCores    = 1.0
	defaultMemoryMB = 256
	defaultSockets  = 1024
	leastMemoryMB   = 16
	leastSockets    = 64
)

// discoveryVariable wins over the file at the start, and only then.
const discoveryVariable = "BALANCER_DISCOVERY"

const (
	mgmtVariable      = "BALANCER_MGMT"
	inheritedVariable = "BALANCER_INHERITED_FD"
)

// file is BALANCER_CONFIG's form.
type file struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Mgmt      string `json:"mgmt"`
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    *float64 `json:"cores"`
		MemoryMB *int     `json:"memory_mb"`
		Sockets  *int     `json:"sockets"`
	} `json:"limits"`
	Known    json.RawMessage `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

// Load reads the environment through getenv and the file that it names. The
// environment's values win. Errors name the key at fault.
func Load(getenv func(string) string) (Config, error) {
	path := getenv("BALANCER_CONFIG")
	if path == "" {
		return Config{}, errors.New("BALANCER_CONFIG: not set")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("BALANCER_CONFIG: %w", err)
	}
	var f file
	if err := json.Unmarshal(raw, &f); err != nil {
		var wrong *json.UnmarshalTypeError
		if errors.As(err, &wrong) {
			return Config{}, fmt.Errorf("%s: %w", wrong.Field, err)
		}
		return Config{}, fmt.Errorf("BALANCER_CONFIG: %w", err)
	}
	return f.config(getenv)
}

// Reload reads the file again for a node that runs as c tells. Of what it holds
// only the discovery's address can change while the node runs, and there the
// file counts: the environment still has the address of the start. The whole
// file is checked all the same, and fixed names the keys that would need a
// restart. On an error c stays as it is.
func (c Config) Reload(getenv func(string) string) (next Config, fixed []string, err error) {
	next, err = Load(func(name string) string {
		if name == discoveryVariable {
			return ""
		}
		return getenv(name)
	})
	if err != nil {
		return c, nil, err
	}
	for key, same := range map[string]bool{
		"name": next.Name == c.Name, "listen": next.Listen == c.Listen, "seed": next.Seed == c.Seed,
		"limits": next.Limits == c.Limits, "mgmt": next.Mgmt == c.Mgmt, "settings": reflect.DeepEqual(next.Settings, c.Settings),
	} {
		if !same {
			fixed = append(fixed, key)
		}
	}
	slices.Sort(fixed)
	c.Discovery = next.Discovery
	return c, fixed, nil
}

func (f *file) config(getenv func(string) string) (Config, error) {
	c := Config{Name: first(getenv("BALANCER_NAME"), f.Name)}
	var err error
	if c.Listen, err = address("listen", "BALANCER_LISTEN", f.Listen, getenv); err != nil {
		return c, err
	}
	if c.Discovery, err = address("discovery", discoveryVariable, f.Discovery, getenv); err != nil {
		return c, err
	}
	if f.Mgmt != "" || getenv(mgmtVariable) != "" {
		if c.Mgmt, err = address("mgmt", mgmtVariable, f.Mgmt, getenv); err != nil {
			return c, err
		}
	}
	if fd := getenv(inheritedVariable); fd != "" {
		if c.Inherited, err = strconv.Atoi(fd); err != nil || c.Inherited <= 2 {
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
		if c.Known, err = roster.Decode(f.Known); err != nil {
			return c, fmt.Errorf("known: %w", err)
		}
	}
	if len(f.Settings) == 0 || string(f.Settings) == "null" {
		return c, errors.New("settings: missing")
	}
	if c.Settings, err = settings.Decode(f.Settings); err != nil {
		return c, fmt.Errorf("settings: %w", err)
	}
	if len(c.Settings.Classes) == 0 {
		return c, errors.New("settings.classes: missing")
	}
	return c, nil
}

func (f *file) limits() (Limits, error) {
	l := Limits{Cores: defaultCores, MemoryMB: defaultMemoryMB, Sockets: defaultSockets}
	if v := f.Limits.Cores; v != nil {
		l.Cores = *v
	}
	if v := f.Limits.MemoryMB; v != nil {
		l.MemoryMB = *v
	}
	if v := f.Limits.Sockets; v != nil {
		l.Sockets = *v
	}
	switch {
	case l.Cores <= 0:
		return l, fmt.Errorf("limits.cores: %v is not above 0", l.Cores)
	case l.MemoryMB < leastMemoryMB:
		return l, fmt.Errorf("limits.memory_mb: %d is under %d", l.MemoryMB, leastMemoryMB)
	case l.Sockets < leastSockets:
		return l, fmt.Errorf("limits.sockets: %d is under %d", l.Sockets, leastSockets)
	}
	return l, nil
}

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

func first(words ...string) string {
	for _, w := range words {
		if w != "" {
			return w
		}
	}
	return ""
}
