// Package keyfile reads and writes the key files of an installation: resume keys, one file per
// key in a directory, and authority keys, which sign changes to accounts.
//
// A key file consists of a header line and one line per field, with the field's name and value,
// in a fixed order. A file that anyone but its owner may access is rejected. Errors name the
// file and never contain a secret. The package starts no goroutine.
package keyfile
