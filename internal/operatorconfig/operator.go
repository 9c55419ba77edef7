// Package operator is the operator's own file: what this installation switches on
// beyond the platform. Its records are typed; the schema in CUE is beside it, in
// package schema, and the node reads the JSON that 'coralctl export' makes of it.
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

// UnmarshalText reads it.
func (d *Duration) UnmarshalText(b []byte) (err error) {
	d.Duration, err = time.ParseDuration(string(b))
	return err
}

// MarshalText writes it.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// File is the whole file. Its zero keys have the defaults of Default.
type File struct {
	Log    Log    `json:"log"`
	Resume Resume `json:"resume"`
	UDP    UDP    `json:"udp"`
	Fleet  Fleet  `json:"fleet"`
}

// Log is how the program logs.
type Log struct {
	Level  string `json:"level"`  // debug, info, warn or error; can change while running
	Format string `json:"format"` // text or json
}

// Resume is moving with a resume token.
type Resume struct {
	Enabled        bool        `json:"enabled"`
	Keys           string      `json:"keys"` // folder of key files, read again on SIGHUP
	TokenTTL       Duration    `json:"life"` // of a token
	ClockSkew      Duration    `json:"skew"` // by which nodes' clocks may differ
	ArbiterTimeout Duration    `json:"wait"` // for an arbiter's answer
	ReplayGuard    ReplayGuard `json:"ledger"`
}

// Ledger is this node's record of spent tokens.
type ReplayGuard struct {
	Dir     string            `json:"dir"`     // folder; empty keeps it in memory
	Records int               `json:"records"` // spent tokens remembered at most
	Listen  string            `json:"listen"`  // where other nodes ask; empty for none
	Peers   map[string]string `json:"peers"`   // other nodes' ledgers: name to address
}

// Default is what a node without a file runs with: everything off.
func Default() File {
	return File{Log: Log{Level: "info", Format: "text"}, Resume: Resume{TokenTTL: Duration{time.Minute},
		ClockSkew: Duration{5 * time.Second}, ArbiterTimeout: Duration{150 * time.Millisecond}, ReplayGuard: ReplayGuard{Records: 1_000_000}},
		UDP: defaultUDP(), Fleet: defaultFleet()}
}

// Fault is what is wrong with one key.
type KeyError struct{ Key, Found, Allowed string }

func (f KeyError) Error() string {
	return fmt.Sprintf("%s: found %s, allowed is %s", f.Key, f.Found, f.Allowed)
}

// checks gathers faults.
type checker struct{ errs []error }

func (c *checker) rejectIf(bad bool, key string, found any, allowed string) {
	if bad {
		c.errs = append(c.errs, KeyError{key, fmt.Sprintf("%q", fmt.Sprint(found)), allowed})
	}
}

func (c *checker) duration(key string, d Duration, least, most time.Duration) {
	c.rejectIf(d.Duration < least || d.Duration > most, key, d, fmt.Sprintf("%v to %v", least, most))
}

func (c *checker) number(key string, x, least, most float64) {
	c.rejectIf(!(x >= least && x <= most), key, x, fmt.Sprintf("%g to %g", least, most))
}

func (c *checker) oneOf(key, found string, allowed ...string) {
	c.rejectIf(!slices.Contains(allowed, found), key, found, strings.Join(allowed, ", "))
}

// Check returns every fault; the schema in CUE says the same.
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
	c.rejectIf(r.Enabled && r.Keys == "", "resume.keys", r.Keys, "a folder of key files, as resume.enabled is true")
	c.duration("resume.life", r.TokenTTL, time.Second, 24*time.Hour)
	c.duration("resume.skew", r.ClockSkew, 0, time.Minute)
	c.duration("resume.wait", r.ArbiterTimeout, time.Millisecond, 5*time.Second)
	c.rejectIf(r.ReplayGuard.Records < 1 || r.ReplayGuard.Records > 100_000_000, "resume.ledger.records", r.ReplayGuard.Records, "1 to 100000000")
	c.rejectIf(r.ReplayGuard.Listen != "" && !isHostPort(r.ReplayGuard.Listen), "resume.ledger.listen", r.ReplayGuard.Listen, "HOST:PORT")
	for name, addr := range r.ReplayGuard.Peers {
		c.rejectIf(!isHostPort(addr), "resume.ledger.peers."+name, addr, "HOST:PORT")
		c.rejectIf(!isWord(name, 40), "resume.ledger.peers."+name, name, "a node's name of 1 to 40 bytes without blanks")
	}
}

func isHostPort(s string) bool {
	_, port, err := net.SplitHostPort(s)
	return err == nil && port != ""
}

// isName tells whether s can stand in a line of text as one word.
func isWord(s string, longest int) bool {
	return s != "" && len(s) <= longest && !strings.ContainsAny(s, " \t\r\n")
}
