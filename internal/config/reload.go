package config

// What of a file read again takes force.

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Reload reads the file again for a node that runs as c tells. Of what it holds the
// discovery's address and the settings change while the node runs, and there the
// file counts: the environment still has the address of the start. All of the file is
// taken or none of it: what it may not hold, and what it lacks of the keys that the
// file in force has, is an error, and c stays as it is. fixed names the keys that
// would need a restart.
func (c Config) Reload(getenv func(string) string) (next Config, fixed []string, err error) {
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
			fixed = append(fixed, key)
		}
	}
	slices.Sort(fixed)
	c.Discovery, c.Settings, c.fileKeys = next.Discovery, next.Settings, next.fileKeys
	return c, fixed, nil
}

// lacks names the first key of old's that next has not. What all of a list's entries
// have, each of the new list's must have.
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

// shared is what all entries of a list have; nil if they are no objects.
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
