package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Reload reads the file again for a node that runs with c. The address of discovery and the
// settings change while the node runs, and for these the file wins: the environment still
// has the address of the start. All of the file takes force or none of it: a value that is
// not allowed, or a missing key that the file in force has, is an error, and c stays as it
// is. restartKeys names the keys that have changed and need a restart, sorted.
func (c Config) Reload(getenv func(string) string) (next Config, restartKeys []string, err error) {
	next, err = Load(func(name string) string {
		if name == discoveryVariable {
			return ""
		}
		return getenv(name)
	})
	if err != nil {
		return c, nil, err
	}
	if key := missingKey(c.fileKeys, next.fileKeys, ""); key != "" {
		return c, nil, fmt.Errorf("%s: missing", key)
	}
	for key, same := range map[string]bool{
		"name": next.Name == c.Name, "listen": next.Listen == c.Listen, "seed": next.Seed == c.Seed,
		"limits": next.Limits == c.Limits, "mgmt": next.AdminAddr == c.AdminAddr,
	} {
		if !same {
			restartKeys = append(restartKeys, key)
		}
	}
	slices.Sort(restartKeys)
	c.Discovery, c.Settings, c.fileKeys = next.Discovery, next.Settings, next.fileKeys
	return c, restartKeys, nil
}

// missingKey returns the path of the first key of old that next lacks, or an empty string.
// The keys that all entries of an old list have, each entry of the new list must have.
func missingKey(old, next any, path string) string {
	switch old := old.(type) {
	case map[string]any:
		next, _ := next.(map[string]any)
		for _, key := range slices.Sorted(maps.Keys(old)) {
			at := strings.TrimPrefix(path+"."+key, ".")
			if old[key] == nil {
				continue
			}
			if next[key] == nil {
				return at
			}
			if missing := missingKey(old[key], next[key], at); missing != "" {
				return missing
			}
		}
	case []any:
		next, ok := next.([]any)
		if !ok {
			return path
		}
		common := commonKeys(old)
		for i, entry := range next {
			if missing := missingKey(common, entry, fmt.Sprintf("%s[%d]", path, i)); missing != "" {
				return missing
			}
		}
	}
	return ""
}

// commonKeys returns the keys that all entries of a list have; nil if they are no objects.
func commonKeys(entries []any) any {
	if len(entries) == 0 {
		return nil
	}
	first, ok := entries[0].(map[string]any)
	if !ok {
		return nil
	}
	common := maps.Clone(first)
	for _, e := range entries[1:] {
		e, _ := e.(map[string]any)
		maps.DeleteFunc(common, func(key string, _ any) bool { return e[key] == nil })
	}
	return common
}
