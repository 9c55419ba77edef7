package store

import (
	"flag"
	"maps"
	"os"
	"path/filepath"
	"testing"
)

// testdata/stored/store.db was written by
//
//	go test ./internal/store -run TestReadsStoredFile -update
var update = flag.Bool("update", false, "rewrite testdata/stored")

const storedPath = "testdata/stored/store.db"

var storedID = ID{0x0a, 0x1b, 0x2c, 0x3d, 0x4e, 0x5f, 0x60, 0x71}

// writeStore creates a store with the contents of the stored file. The arrangement of pages may differ.
func writeStore(t *testing.T, path string) {
	t.Helper()
	store := mustOpen(t, path, schemaV2)
	err := store.Update(func(tx *Tx) error { return tx.Bucket([]byte("meta")).Put([]byte("id"), storedID[:]) })
	if err != nil {
		t.Fatal(err)
	}
	put(t, store, "k", "v")
	if err := store.Close(); err != nil {
		t.Fatal(err)
	}
}

// copyStored copies the stored file and returns the path of the copy.
func copyStored(t *testing.T) string {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "copy")
	if err := os.CopyFS(dir, os.DirFS(filepath.Dir(storedPath))); err != nil {
		t.Fatal(err)
	}
	return filepath.Join(dir, filepath.Base(storedPath))
}

// The bucket and keys of kind, layout and identity are part of the file format: a file written
// by an earlier version is read, and a new file has the same contents.
func TestReadsStoredFile(t *testing.T) {
	if *update {
		_ = os.Remove(storedPath)
		writeStore(t, storedPath)
	}
	want := map[string]string{
		"meta/kind":   "test",
		"meta/layout": "\x00\x00\x00\x00\x00\x00\x00\x02",
		"meta/id":     "\x0a\x1b\x2c\x3d\x4e\x5f\x60\x71",
		"things/k":    "v",
		"things/mark": "2",
	}
	fresh := filepath.Join(t.TempDir(), "store.db")
	writeStore(t, fresh)
	for name, path := range map[string]string{"stored": copyStored(t), "written now": fresh} {
		t.Run(name, func(t *testing.T) {
			store := mustOpen(t, path, schemaV2)
			if store.ID != storedID || store.ID.String() != "0a1b2c3d4e5f6071" || store.Layout() != 2 {
				t.Errorf("id %v, layout %d", store.ID, store.Layout())
			}
			if store.QuarantinePath != "" || store.QuarantineReason != nil {
				t.Errorf("quarantined %q: %v", store.QuarantinePath, store.QuarantineReason)
			}
			if get(store, "k") != "v" || get(store, "mark") != "2" {
				t.Errorf("k is %q, mark is %q", get(store, "k"), get(store, "mark"))
			}
			if found := contentsOf(t, store); !maps.Equal(found, want) {
				t.Errorf("contents are %q, want %q", found, want)
			}
		})
	}
}

// contentsOf returns all values of the store, by "bucket/key".
func contentsOf(t *testing.T, store *Store) map[string]string {
	t.Helper()
	contents := map[string]string{}
	err := store.View(func(tx *Tx) error {
		return tx.ForEach(func(name []byte, bucket *Bucket) error {
			return bucket.ForEach(func(key, value []byte) error {
				contents[string(name)+"/"+string(key)] = string(value)
				return nil
			})
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	return contents
}

// The names of quarantined files are documented for operators and must not change.
func TestQuarantineFileNames(t *testing.T) {
	intact := func(string) {}
	truncated := func(path string) {
		if err := os.Truncate(path, 4096+512); err != nil {
			t.Fatal(err)
		}
	}
	for suffix, test := range map[string]struct {
		damage func(path string)
		schema Schema
	}{
		".newer-1":   {intact, schemaV1},
		".foreign-1": {intact, Schema{Kind: "other", Migrations: schemaV2.Migrations}},
		".torn-1":    {truncated, schemaV2},
	} {
		t.Run(suffix, func(t *testing.T) {
			path := copyStored(t)
			test.damage(path)
			if store := mustOpen(t, path, test.schema); store.QuarantinePath != path+suffix {
				t.Errorf("quarantined as %q, want %q", store.QuarantinePath, path+suffix)
			}
		})
	}
}
