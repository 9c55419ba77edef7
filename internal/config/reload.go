package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Reload reads the file again for a node that runs with c. Only the address of discovery and the settings
// can change while the node runs. For the address, the file overrides the environment, which still has the
// value from the start. A reload is applied completely or not at all: if a value is invalid, or a key of the
// current file is missing, Reload returns an error and c unchanged. The result restartKeys has the changed
// keys that need a restart, sorted.
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

// missingKey returns the path of the first key in old that is missing in next, or an empty string. In a
// list, each entry of next must have the keys that all entries of old have.
func missingKey(old, next any, path string) string {
	switch old := old.(type) {
	case map[string]any:
		next, _ := next.(map[string]any)
		for _, key := range slices.Sorted(maps.Keys(old)) {
			keyPath := strings.TrimPrefix(path+"."+key, ".")
			if old[key] == nil {
				continue
			}
			if next[key] == nil {
				return keyPath
			}
			if missing := missingKey(old[key], next[key], keyPath); missing != "" {
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

// commonKeys returns the keys that all entries of a list have, or nil if the entries are not objects.
func commonKeys(entries []any) any {
	if len(entries) == 0 {
		return nil
	}
	first, ok := entries[0].(map[string]any)
	if !ok {
		return nil
	}
	common := maps.Clone(first)
	for _, entry := range entries[1:] {
		entry, _ := entry.(map[string]any)
		maps.DeleteFunc(common, func(key string, _ any) bool { return entry[key] == nil })
	}
	return common
}
