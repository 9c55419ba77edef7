//go:build mutation

package mutation

import "os"

// selected is the name of the guard that is disabled. The environment variable keeps its first name,
// because environment variables have to stay valid across releases.
var selected = os.Getenv("CORALRELAY_SABOTAGE")

// Enabled reports whether the named guard is disabled.
func Enabled(name string) bool { return name == selected }
