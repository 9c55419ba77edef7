// Package operatorconfig reads the operator's file, which configures the features of this
// installation that the platform's settings do not cover. Package schema has the CUE schema of
// the file. The node reads the JSON that 'coralctl export' makes of a CUE file. The package
// starts no goroutine that outlives Load. An invalid value is a KeyError; Check returns all
// errors joined.
//
// Go fields are named in the terms of the code. Struct tags and errors have the keys of the file.
package operatorconfig

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"time"
)

// Duration is a time.Duration that is stored as text, such as 150ms.
type Duration struct{ time.Duration }

// UnmarshalText parses a duration such as 1.5s.
func (d *Duration) UnmarshalText(b []byte) (err error) {
	d.Duration, err = time.ParseDuration(string(b))
	return err
}

// MarshalText formats the duration like time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// File is the content of the operator's file. Keys that the file lacks have the values of Default.
type File struct {
	Log    Log    `json:"log"`
	Resume Resume `json:"resume"`
	UDP    UDP    `json:"udp"`
	Fleet  Fleet  `json:"fleet"`
}

// Log configures logging.
type Log struct {
	Level  string `json:"level"`  // debug, info, warn or error; can be changed without a restart
	Format string `json:"format"` // text or json
}

// Resume configures resume tokens.
type Resume struct {
	Enabled        bool        `json:"enabled"`
	KeyDir         string      `json:"keys"` // directory of key files, reloaded on SIGHUP
	TokenTTL       Duration    `json:"life"` // validity period of a token
	ClockSkew      Duration    `json:"skew"` // maximum difference between the clocks of nodes
	ArbiterTimeout Duration    `json:"wait"` // time-out for the answer of an arbiter
	ReplayGuard    ReplayGuard `json:"ledger"`
}

// ReplayGuard configures this node's record of spent tokens.
type ReplayGuard struct {
	Dir     string            `json:"dir"`     // directory; empty keeps the record in memory
	Records int               `json:"records"` // maximum number of spent tokens
	Listen  string            `json:"listen"`  // address at which other nodes connect; empty for none
	Peers   map[string]string `json:"peers"`   // addresses of other nodes' guards by node name
}

// Default returns the configuration of a node without a file. All features are disabled.
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

// KeyError is an invalid value of a key.
type KeyError struct {
	Key     string
	Found   string
	Allowed string // description of the valid values, for operators
}

func (e KeyError) Error() string {
	return fmt.Sprintf("%s: found %s, allowed is %s", e.Key, e.Found, e.Allowed)
}

// checker collects the errors of a check.
type checker struct{ errs []error }

// rejectIf adds a KeyError if invalid is true.
func (c *checker) rejectIf(invalid bool, key string, found any, allowed string) {
	if invalid {
		c.errs = append(c.errs, KeyError{key, fmt.Sprintf("%q", fmt.Sprint(found)), allowed})
	}
}

// duration requires that d is between least and most, inclusive.
func (c *checker) duration(key string, d Duration, least, most time.Duration) {
	c.rejectIf(d.Duration < least || d.Duration > most, key, d, fmt.Sprintf("%v to %v", least, most))
}

// number requires that x is between least and most, inclusive.
func (c *checker) number(key string, x, least, most float64) {
	c.rejectIf(!(x >= least && x <= most), key, x, fmt.Sprintf("%g to %g", least, most))
}

// oneOf requires that found is one of the allowed values.
func (c *checker) oneOf(key, found string, allowed ...string) {
	c.rejectIf(!slices.Contains(allowed, found), key, found, strings.Join(allowed, ", "))
}

// Check returns an error for each invalid key. The CUE schema has the same rules.
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
	c.rejectIf(r.Enabled && r.KeyDir == "", "resume.keys", r.KeyDir,
		"a directory of key files, as resume.enabled is true")
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
		c.rejectIf(!isWord(name, 40), key+"peers."+name, name, "a node name of 1 to 40 bytes without blanks")
	}
}

func isHostPort(s string) bool {
	_, port, err := net.SplitHostPort(s)
	return err == nil && port != ""
}

// isWord reports whether s has 1 to maxBytes bytes and no white space, so that it is a single
// word in a line of text.
func isWord(s string, maxBytes int) bool {
	return s != "" && len(s) <= maxBytes && !strings.ContainsAny(s, " \t\r\n")
}
