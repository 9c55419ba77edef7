//go:build mutation

package mutation

import "os"

// selected is the guard that is switched off. The variable keeps the name that it had when
// mutations were called otherwise: environment variables outlive a release.
var selected = os.Getenv("CORALRELAY_SABOTAGE")

// Enabled reports whether the named guard is switched off.
func Enabled(name string) bool { return name == selected }
