// Package operatorconfig is the operator's own file: what this installation switches on
// beyond the platform. The schema in CUE is beside it, in package schema, and the node reads
// the JSON that 'coralctl export' makes of a CUE file. It starts no goroutine that outlives
// Load. A value that is not allowed is a KeyError; Check returns all of them joined.
//
// The fields have the names of the code, the tags and the errors those of the file.
package operatorconfig

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"time"
)

// Duration is a time.Duration as text, such as 150ms.
type Duration struct{ time.Duration }

// UnmarshalText parses a duration such as 1.5s.
func (d *Duration) UnmarshalText(b []byte) (err error) {
	d.Duration, err = time.ParseDuration(string(b))
	return err
}

// MarshalText formats the duration as Go does.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// File is the whole file. Keys that it does not have keep the values of Default.
type File struct {
	Log    Log    `json:"log"`
	Resume Resume `json:"resume"`
	UDP    UDP    `json:"udp"`
	Fleet  Fleet  `json:"fleet"`
}

// Log says how the program logs.
type Log struct {
	Level  string `json:"level"`  // debug, info, warn or error; can change while running
	Format string `json:"format"` // text or json
}

// Resume configures resume tokens.
type Resume struct {
	Enabled        bool        `json:"enabled"`
	KeyDir         string      `json:"keys"` // folder of key files, reloaded on SIGHUP
	TokenTTL       Duration    `json:"life"` // of a token
	ClockSkew      Duration    `json:"skew"` // nodes' clocks may differ by
	ArbiterTimeout Duration    `json:"wait"` // for an arbiter's answer
	ReplayGuard    ReplayGuard `json:"ledger"`
}

// ReplayGuard is this node's record of spent tokens.
type ReplayGuard struct {
	Dir     string            `json:"dir"`     // folder; empty keeps it in memory
	Records int               `json:"records"` // spent tokens remembered at most
	Listen  string            `json:"listen"`  // where other nodes connect; empty for none
	Peers   map[string]string `json:"peers"`   // other nodes' guards: name to address
}

// Default returns the configuration of a node without a file: everything off.
func Default() File {
	return File{
		Log: Log{Level: "info", Format: "text"},
		Resume: Resume{
			TokenTTL:       Duration{time.Minute},
			ClockSkew:      Duration{5 * time.Second},
			ArbiterTimeout: Duration{150 * time.Millisecond},
			ReplayGuard:    ReplayGuard{Records: 1_000_000},
		},
		UDP:   defaultUDP(),
		Fleet: defaultFleet(),
	}
}

// KeyError says that one key has a value that is not allowed.
type KeyError struct {
	Key     string
	Found   string
	Allowed string // for people
}

func (e KeyError) Error() string {
	return fmt.Sprintf("%s: found %s, allowed is %s", e.Key, e.Found, e.Allowed)
}

// checker collects the errors of a check.
type checker struct{ errs []error }

// rejectIf adds a KeyError if the value is bad.
func (c *checker) rejectIf(bad bool, key string, found any, allowed string) {
	if bad {
		c.errs = append(c.errs, KeyError{key, fmt.Sprintf("%q", fmt.Sprint(found)), allowed})
	}
}

// duration requires a duration between least and most.
func (c *checker) duration(key string, d Duration, least, most time.Duration) {
	c.rejectIf(d.Duration < least || d.Duration > most, key, d, fmt.Sprintf("%v to %v", least, most))
}

// number requires a number between least and most.
func (c *checker) number(key string, x, least, most float64) {
	c.rejectIf(!(x >= least && x <= most), key, x, fmt.Sprintf("%g to %g", least, most))
}

// oneOf requires one of the allowed words.
func (c *checker) oneOf(key, found string, allowed ...string) {
	c.rejectIf(!slices.Contains(allowed, found), key, found, strings.Join(allowed, ", "))
}

// Check returns an error for every key that is wrong; the schema in CUE has the same rules.
func (f *File) Check() error {
	var c checker
	c.oneOf("log.level", f.Log.Level, "debug", "info", "warn", "error")
	c.oneOf("log.format", f.Log.Format, "text", "json")
	f.Resume.check(&c)
	f.UDP.check(&c)
	f.Fleet.check(&c)
	return errors.Join(c.errs...)
}

func (r *Resume) check(c *checker) {
	c.rejectIf(r.Enabled && r.KeyDir == "", "resume.keys", r.KeyDir, "a folder of key files, as resume.enabled is true")
	c.duration("resume.life", r.TokenTTL, time.Second, 24*time.Hour)
	c.duration("resume.skew", r.ClockSkew, 0, time.Minute)
	c.duration("resume.wait", r.ArbiterTimeout, time.Millisecond, 5*time.Second)
	r.ReplayGuard.check(c)
}

func (g *ReplayGuard) check(c *checker) {
	const key = "resume.ledger."
	c.rejectIf(g.Records < 1 || g.Records > 100_000_000, key+"records", g.Records, "1 to 100000000")
	c.rejectIf(g.Listen != "" && !isHostPort(g.Listen), key+"listen", g.Listen, "HOST:PORT")
	for name, addr := range g.Peers {
		c.rejectIf(!isHostPort(addr), key+"peers."+name, addr, "HOST:PORT")
		c.rejectIf(!isWord(name, 40), key+"peers."+name, name, "a node's name of 1 to 40 bytes without blanks")
	}
}

func isHostPort(s string) bool {
	_, port, err := net.SplitHostPort(s)
	return err == nil && port != ""
}

// isWord reports whether s can stand in a line of text as one word of at most longest bytes.
func isWord(s string, longest int) bool {
	return s != "" && len(s) <= longest && !strings.ContainsAny(s, " \t\r\n")
}
