package store

import (
	"errors"
	"fmt"
	"os"
)

// The labels in the names of quarantined files. Operators' pages list them.
const (
	labelCorrupt      = "torn"
	labelNewerLayout  = "newer"
	labelUnrecognized = "foreign"
)

// quarantineLabel returns the label for the reason why a file can't be used; it is false for
// a reason that says nothing against the file's contents.
func quarantineLabel(reason error) (string, bool) {
	switch {
	case errors.Is(reason, ErrNewerLayout):
		return labelNewerLayout, true
	case errors.Is(reason, ErrUnrecognized):
		return labelUnrecognized, true
	case errors.Is(reason, ErrCorrupt):
		return labelCorrupt, true
	}
	return "", false
}

// Quarantine moves a file that can't be used to PATH.LABEL-N, with the first number N that is
// free, and returns that path.
func Quarantine(path, label string) (string, error) {
	for number := 1; ; number++ {
		target := fmt.Sprintf("%s.%s-%d", path, label, number)
		// Link fails where the name is taken, which a rename would overwrite.
		err := os.Link(path, target)
		if errors.Is(err, os.ErrExist) {
			continue
		}
		if err != nil {
			return "", &Error{Op: OpQuarantine, Path: path, Err: err}
		}
		return target, os.Remove(path)
	}
}
