// Package sysfault injects faults into the system calls of the process for scenarios: accepts and
// connects that fail, reads and writes that are cut short, and a wall clock with an offset. Faults
// are only compiled in with the build tag mutation; without it the functions return their arguments
// unchanged.
package sysfault
