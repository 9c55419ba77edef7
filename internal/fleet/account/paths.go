package account

import (
	"fmt"
	"slices"
	"strings"
)

// A path consists of names separated by '/', starting with the name of an account. The path of a route
// is the path of its owner, a colon and its name.

// isInSubtree reports whether a path is top or below it.
func isInSubtree(path, top string) bool {
	return path == top || strings.HasPrefix(path, top) && len(path) > len(top) && path[len(top)] == '/'
}

// parent returns the path of a node's parent, or the empty path for an account.
func parent(path string) string {
	return path[:max(strings.LastIndexByte(path, '/'), 0)]
}

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

func isValidName(name string) bool {
	return name != "" && len(name) <= maxNameBytes && !strings.ContainsFunc(name, isInvalidInName)
}

func isInvalidInName(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= '0' && r <= '9', r == '-', r == '_', r == '.':
		return false
	}
	return true
}

// checkPath returns an error if a path is not a valid path of a node.
func checkPath(path string) error {
	names := strings.Split(path, "/")
	if len(names) > maxDepth {
		return fmt.Errorf("%.80q: more than %d levels", path, maxDepth)
	}
	for _, name := range names {
		if !isValidName(name) {
			return fmt.Errorf(
				"%.80q: want names of a-z, 0-9, '-', '_' and '.', %d letters at most, with '/' between",
				path, maxNameBytes)
		}
	}
	return nil
}
