//go:build mutation

package mutation

import "os"

var named = os.Getenv("CORALRELAY_SABOTAGE")

// On tells whether a guard is off.
func On(name string) bool { return name == named }
