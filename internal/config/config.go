// Package config is the one place where the node's environment and its
// configuration are read, checked and given defaults.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"

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

	keys map[string]any // the file's keys as they are nested, for a later one to be held against
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
	// longestDeadline and mostTries are the most that settings may ask for.
	longestDeadline = 86400.0 // seconds
	mostTries       = 1e6
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
	return read(raw, getenv)
}

// read reads a file's text.
func read(raw []byte, getenv func(string) string) (Config, error) {
	var f file
	if err := json.Unmarshal(raw, &f); err != nil {
		var wrong *json.UnmarshalTypeError
		if errors.As(err, &wrong) && wrong.Field != "" {
			return Config{}, fmt.Errorf("%s: %w", wrong.Field, err)
		}
		return Config{}, fmt.Errorf("BALANCER_CONFIG: %w", err)
	}
	c, err := f.config(getenv)
	if err != nil {
		return c, err
	}
	if err := json.Unmarshal(raw, &c.keys); err != nil {
		return c, fmt.Errorf("BALANCER_CONFIG: %w", err)
	}
	if c.keys["known"] != nil {
		c.keys["known"] = "" // a list of its own, which is checked by itself
	}
	return c, nil
}

// Reload reads the file again for a node that runs as c tells. Of what it holds the
// discovery's address and the settings change while the node runs, and there the
// file counts: the environment still has the address of the start. All of the file is
// taken or none of it: what it may not hold, and what it lacks of the keys that the
// file in force has, is an error, and c stays as it is. fixed names the keys that
// would need a restart.
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
	if key := lacks(c.keys, next.keys, ""); key != "" {
		return c, nil, fmt.Errorf("%s: missing", key)
	}
	for key, same := range map[string]bool{
		"name": next.Name == c.Name, "listen": next.Listen == c.Listen, "seed": next.Seed == c.Seed,
		"limits": next.Limits == c.Limits, "mgmt": next.Mgmt == c.Mgmt,
	} {
		if !same {
			fixed = append(fixed, key)
		}
	}
	slices.Sort(fixed)
	c.Discovery, c.Settings, c.keys = next.Discovery, next.Settings, next.keys
	return c, fixed, nil
}

// lacks names the first key of old's that next has not. What all of a list's entries
// have, each of the new list's must have.
func lacks(old, next any, path string) string {
	switch old := old.(type) {
	case map[string]any:
		next, _ := next.(map[string]any)
		for _, key := range slices.Sorted(maps.Keys(old)) {
			at := strings.TrimPrefix(path+"."+key, ".")
			if old[key] == nil {
				continue
			}
			if next[key] == nil {
				return at
			}
			if missing := lacks(old[key], next[key], at); missing != "" {
				return missing
			}
		}
	case []any:
		next, ok := next.([]any)
		if !ok {
			return path
		}
		common := shared(old)
		for i, entry := range next {
			if missing := lacks(common, entry, fmt.Sprintf("%s[%d]", path, i)); missing != "" {
				return missing
			}
		}
	}
	return ""
}

// shared is what all entries of a list have; nil if they are no objects.
func shared(entries []any) any {
	if len(entries) == 0 {
		return nil
	}
	first, ok := entries[0].(map[string]any)
	if !ok {
		return nil
	}
	common := maps.Clone(first)
	for _, e := range entries[1:] {
		e, _ := e.(map[string]any)
		maps.DeleteFunc(common, func(key string, _ any) bool { return e[key] == nil })
	}
	return common
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
	if err := checkSettings(f.Settings, &c.Settings); err != nil {
		return c, fmt.Errorf("settings.%w", err)
	}
	return c, nil
}

// checkSettings names the first of the settings that a node can't serve by.
func checkSettings(raw json.RawMessage, s *balance.Settings) error {
	// As they were written: beyond some size they are no durations any more.
	var given struct {
		Classes []struct {
			Deadline float64 `json:"deadline"`
		} `json:"classes"`
		Limits struct {
			MostTries *float64 `json:"mostTries"`
		} `json:"limits"`
	}
	if err := json.Unmarshal(raw, &given); err != nil {
		return fmt.Errorf("limits: %w", err)
	}
	if n := given.Limits.MostTries; n != nil && (*n < 1 || *n > mostTries) {
		return fmt.Errorf("limits.mostTries: %v is not within 1 to %v", *n, mostTries)
	}
	if len(s.Classes) == 0 {
		return errors.New("classes: missing")
	}
	names := map[string]bool{}
	for i, class := range s.Classes {
		at := fmt.Sprintf("classes[%d]", i)
		switch {
		case class.Name == "":
			return fmt.Errorf("%s.name: missing", at)
		case names[class.Name]:
			return fmt.Errorf("%s.name: %q stands there twice", at, class.Name)
		case class.Deadline <= 0 || given.Classes[i].Deadline > longestDeadline:
			return fmt.Errorf("%s.deadline: %v is not above 0 and at most %v", at, given.Classes[i].Deadline, longestDeadline)
		}
		names[class.Name] = true
	}
	if err := s.Check(); err != nil {
		return fmt.Errorf("check: %w", err)
	}
	return nil
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
