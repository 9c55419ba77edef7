// Package sysfault stands between the process and its system calls, so that a scenario can have them
// fail: accepts and connects with an error, reads and writes cut short, files that can't be synced, and a
// wall clock that is off. Only a build with the tag mutation has it; in any other its functions return
// what they are given.
package sysfault
