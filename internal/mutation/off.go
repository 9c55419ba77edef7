//go:build !mutation

// Package mutation disables single guards, so that a scenario can show that its checks detect the
// fault that the guard prevents (mutation testing). This needs the build tag mutation; without it
// Enabled is constantly false, and the compiler removes the branch.
package mutation

// Enabled reports whether the named guard is disabled.
func Enabled(string) bool { return false }
