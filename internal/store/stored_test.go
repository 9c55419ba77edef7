package store

import (
	"flag"
	"maps"
	"os"
	"path/filepath"
	"testing"
)

// testdata/stored/store.db was made by
//
//	go test ./internal/store -run TestReadsStoredFile -update
var update = flag.Bool("update", false, "rewrite testdata/stored")

const storedPath = "testdata/stored/store.db"

var storedID = ID{0x0a, 0x1b, 0x2c, 0x3d, 0x4e, 0x5f, 0x60, 0x71}

// writeStore makes a store that differs from storedFile at most in how pages are laid out.
func writeStore(t *testing.T, path string) {
	t.Helper()
	store := mustOpen(t, path, schemaV2)
	if err := store.Update(func(tx *Tx) error { return tx.Bucket([]byte("meta")).Put([]byte("id"), storedID[:]) }); err != nil {
		t.Fatal(err)
	}
	put(t, store, "k", "v")
	if err := store.Close(); err != nil {
		t.Fatal(err)
	}
}

// copyStored returns the path of a copy of storedFile.
func copyStored(t *testing.T) string {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "copy")
	if err := os.CopyFS(dir, os.DirFS(filepath.Dir(storedPath))); err != nil {
		t.Fatal(err)
	}
	return filepath.Join(dir, filepath.Base(storedPath))
}

// Kind, layout and identity stand where they did, in a stored file and in a new one.
func TestReadsStoredFile(t *testing.T) {
	if *update {
		_ = os.Remove(storedPath)
		writeStore(t, storedPath)
	}
	fresh := filepath.Join(t.TempDir(), "store.db")
	writeStore(t, fresh)
	for name, path := range map[string]string{"stored": copyStored(t), "written now": fresh} {
		store := mustOpen(t, path, schemaV2)
		if store.ID != storedID || store.ID.String() != "0a1b2c3d4e5f6071" || store.Layout() != 2 || store.QuarantinePath != "" || store.QuarantineReason != nil {
			t.Errorf("%s: id %v, layout %d, aside %q: %v", name, store.ID, store.Layout(), store.QuarantinePath, store.QuarantineReason)
		}
		if get(store, "k") != "v" || get(store, "mark") != "2" {
			t.Errorf("%s: k is %q, mark is %q", name, get(store, "k"), get(store, "mark"))
		}
		found := map[string]string{}
		err := store.View(func(tx *Tx) error {
			return tx.ForEach(func(bucket []byte, b *Bucket) error {
				return b.ForEach(func(k, v []byte) error { found[string(bucket)+"/"+string(k)] = string(v); return nil })
			})
		})
		want := map[string]string{
			"meta/kind":   "test",
			"meta/layout": "\x00\x00\x00\x00\x00\x00\x00\x02",
			"meta/id":     "\x0a\x1b\x2c\x3d\x4e\x5f\x60\x71",
			"things/k":    "v",
			"things/mark": "2",
		}
		if err != nil || !maps.Equal(found, want) {
			t.Errorf("%s: it holds %q, want %q: %v", name, found, want, err)
		}
	}
}

// The names under which a file that can't be used is found.
func TestQuarantineFileNames(t *testing.T) {
	truncate := func(path string) {
		if err := os.Truncate(path, 4096+512); err != nil {
			t.Fatal(err)
		}
	}
	for suffix, c := range map[string]struct {
		spoil  func(path string)
		schema Schema
	}{
		".newer-1":   {func(string) {}, schemaV1},
		".foreign-1": {func(string) {}, Schema{Kind: "other", Migrations: schemaV2.Migrations}},
		".torn-1":    {truncate, schemaV2},
	} {
		path := copyStored(t)
		c.spoil(path)
		if s := mustOpen(t, path, c.schema); s.QuarantinePath != path+suffix {
			t.Errorf("set aside as %q, want %q", s.QuarantinePath, path+suffix)
		}
	}
}
