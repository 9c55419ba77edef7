//go:build !mutation

// Package sabotage switches single guards off, so that the rig can show that its
// checks catch what the guards prevent. Only a build with the tag sabotage has it;
// in any other On is false for the compiler, and the guards can't be switched off.
package mutation

// On tells whether a guard is off.
func On(string) bool { return false }
