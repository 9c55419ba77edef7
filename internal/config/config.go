// Package config reads the node's environment variables and the platform's configuration file,
// validates them and fills in defaults; no other package reads them. It starts no goroutine. Its
// errors begin with the name of the invalid variable or key.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"

	"coralrelay/balance"
	"coralrelay/internal/discovery"
	"coralrelay/internal/inputlimit"
	"coralrelay/internal/settings"
)

// Config is the configuration of a node.
type Config struct {
	Name            string
	Listen          string
	Discovery       string
	AdminAddr       string // address of the admin interface for operators; empty for none
	InheritedFD     int    // descriptor of an inherited listening socket for clients; 0 for none
	Seed            uint64
	Limits          Limits
	CachedEndpoints discovery.Update // the latest list that this node had; may be out of date
	Settings        balance.Settings

	fileKeys map[string]any // the nested keys of the file, compared by Reload
}

// Limits are the resource limits of the node on its machine.
type Limits struct {
	Cores    float64 // number of threads that may run Go code at the same time
	MemoryMB int     // resident memory in MiB
	Sockets  int     // number of sockets open at the same time
}

// Defaults and limits.
const (
	maxFileBytes    = 16 << 20 // of the file: an endpoint list and the settings
	defaultCores    = 1.0
	defaultMemoryMB = 256
	defaultSockets  = 1024
	minMemoryMB     = 16
	minSockets      = 64
	// maxDeadlineSeconds and maxAttemptsLimit are the maximum values in the settings.
	maxDeadlineSeconds = 86400.0 // seconds
	maxAttemptsLimit   = 1e6
)

// Environment variables. A variable that is set overrides the key in the file.
const (
	fileVariable      = "BALANCER_CONFIG"
	nameVariable      = "BALANCER_NAME"
	listenVariable    = "BALANCER_LISTEN"
	discoveryVariable = "BALANCER_DISCOVERY" // ignored on reload
	adminVariable     = "BALANCER_MGMT"
	inheritedVariable = "BALANCER_INHERITED_FD"
)

// document is the JSON form of the file that BALANCER_CONFIG names.
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

// Load reads the environment through getenv, and the file that it names. Environment variables override
// the file. Errors begin with the name of the invalid variable or key.
func Load(getenv func(string) string) (Config, error) {
	path := getenv(fileVariable)
	if path == "" {
		return Config{}, errors.New(fileVariable + ": not set")
	}
	raw, err := inputlimit.ReadFile(path, maxFileBytes)
	if err != nil {
		return Config{}, fmt.Errorf("%s: %w", fileVariable, err)
	}
	return parse(raw, getenv)
}

// parse parses and validates the content of a file.
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
		c.fileKeys["known"] = "" // the list has its own format and is validated separately
	}
	return c, nil
}

// toConfig validates the file's values and applies the environment variables.
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
			return c, fmt.Errorf("%s: %q is not a file descriptor above 2", inheritedVariable, fd)
		}
	}
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return c, fmt.Errorf("seed: %w", err)
	}
	if c.Limits, err = f.limits(); err != nil {
		return c, err
	}
	if len(f.Known) > 0 && string(f.Known) != "null" {
		if c.CachedEndpoints, err = discovery.Decode(f.Known, "known"); err != nil {
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

// address returns the address from the file, or from the variable if that is set. Errors name the key or the
// variable accordingly.
func address(key, variable, fileAddr string, getenv func(string) string) (string, error) {
	addr := fileAddr
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

func firstNonEmpty(values ...string) string {
	for _, value := range values {
		if value != "" {
			return value
		}
	}
	return ""
}
