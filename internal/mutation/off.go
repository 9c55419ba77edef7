//go:build !mutation

// Package mutation switches single guards off, so that a scenario can show that its checks
// catch what the guard prevents (mutation testing). Only a build with the tag mutation can
// do so: in any other, Enabled is false for the compiler, and no guard can be switched off.
package mutation

// Enabled reports whether the named guard is switched off.
func Enabled(string) bool { return false }
