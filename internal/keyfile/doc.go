// Package keyfile writes and reads key files: the resume keys of an installation, one a file
// in a directory, and the authority keys that sign changes of accounts.
//
// A key file is a header line and lines of a name and a value each, in a fixed order. Only its
// owner may have access. Errors name the file, and never contain a secret. The package starts
// no goroutine.
package keyfile
