package store

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var itemsBucket = []byte("things")

var schemaV1 = Schema{Kind: "test", Migrations: []func(*Tx) error{createItems}}

// schemaV2 has a second migration, which adds a key.
var schemaV2 = Schema{Kind: "test", Migrations: []func(*Tx) error{createItems, addMark}}

func createItems(tx *Tx) error {
	_, err := tx.CreateBucket(itemsBucket)
	return err
}

func addMark(tx *Tx) error { return tx.Bucket(itemsBucket).Put([]byte("mark"), []byte("2")) }

func put(t *testing.T, store *Store, key, value string) {
	t.Helper()
	err := store.Update(func(tx *Tx) error { return tx.Bucket(itemsBucket).Put([]byte(key), []byte(value)) })
	if err != nil {
		t.Fatal(err)
	}
}

func get(store *Store, key string) (value string) {
	_ = store.View(func(tx *Tx) error {
		value = string(tx.Bucket(itemsBucket).Get([]byte(key)))
		return nil
	})
	return value
}

func mustOpen(t *testing.T, path string, schema Schema) *Store {
	t.Helper()
	store, err := Open(path, schema, Options{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = store.Close() })
	return store
}

func TestMigratesLayoutAndQuarantinesNewerLayout(t *testing.T) {
	path := filepath.Join(t.TempDir(), "a", "x.db")
	store := mustOpen(t, path, schemaV1)
	put(t, store, "k", "v")
	id := store.ID
	_ = store.Close()
	if _, err := Open(path, schemaV2, Options{ReadOnly: true}); err == nil {
		t.Error("a file with an older layout was opened read-only")
	}
	store = mustOpen(t, path, schemaV2)
	if store.ID != id || store.Layout() != 2 || store.QuarantinePath != "" {
		t.Errorf("id %v, was %v, layout %d, quarantined %q", store.ID, id, store.Layout(), store.QuarantinePath)
	}
	if get(store, "k") != "v" || get(store, "mark") != "2" {
		t.Errorf("after the migration k is %q, mark is %q", get(store, "k"), get(store, "mark"))
	}
	_ = store.Close()
	failing := Schema{Kind: "test", Migrations: []func(*Tx) error{createItems, addMark, func(tx *Tx) error {
		_ = tx.Bucket(itemsBucket).Put([]byte("k"), []byte("lost"))
		return errors.New("no")
	}}}
	if _, err := Open(path, failing, Options{}); err == nil {
		t.Error("Open succeeded although a migration failed")
	}
	if store = mustOpen(t, path, schemaV2); get(store, "k") != "v" {
		t.Error("a failed migration changed the file")
	}
	_ = store.Close()

	store = mustOpen(t, path, schemaV1) // an older release finds a newer file
	if !errors.Is(store.QuarantineReason, ErrNewerLayout) || !strings.Contains(store.QuarantinePath, "newer") {
		t.Errorf("newer layout: quarantined as %q, %v", store.QuarantinePath, store.QuarantineReason)
	}
	if store.ID == id || get(store, "k") != "" {
		t.Errorf("store that replaces the newer file: id %v, k is %q", store.ID, get(store, "k"))
	}
	if quarantined := mustOpen(t, store.QuarantinePath, schemaV2); get(quarantined, "k") != "v" {
		t.Error("the quarantined file lost its contents")
	}
}

func TestQuarantinesUnrecognizedFile(t *testing.T) {
	for name, create := range map[string]func(path string){
		"text": func(path string) { _ = os.WriteFile(path, []byte(strings.Repeat("plain text\n", 5000)), 0o600) },
		"other kind": func(path string) {
			_ = mustOpen(t, path, Schema{Kind: "other", Migrations: schemaV1.Migrations}).Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "x.db")
			create(path)
			before, _ := os.ReadFile(path)
			store := mustOpen(t, path, schemaV1)
			after, _ := os.ReadFile(store.QuarantinePath)
			if !errors.Is(store.QuarantineReason, ErrUnrecognized) || !bytes.Equal(before, after) {
				t.Errorf("%v, quarantined %q", store.QuarantineReason, store.QuarantinePath)
			}
			third := Schema{Kind: "third", Migrations: schemaV1.Migrations}
			if _, err := Open(path, third, Options{ReadOnly: true}); err == nil {
				t.Error("a file of another kind was opened read-only")
			}
		})
	}
	if _, err := Open(t.TempDir(), schemaV1, Options{}); err == nil {
		t.Error("a directory was opened as a store")
	}
}

// Opening a file that was truncated at any length, or in which any page is damaged, must not
// panic or return part of the data. Either the store is complete, or the file is quarantined
// and this is reported.
func TestCorruptFileIsNeverReadInPart(t *testing.T) {
	dir := t.TempDir()
	store := mustOpen(t, filepath.Join(dir, "intact"), schemaV1)
	for i := range 50 {
		put(t, store, fmt.Sprintf("k%02d", i), strings.Repeat("v", 300))
	}
	id := store.ID
	_ = store.Close()
	intact, err := os.ReadFile(filepath.Join(dir, "intact"))
	if err != nil {
		t.Fatal(err)
	}
	check := func(name string, contents []byte, checkValues bool) {
		path := filepath.Join(dir, "damaged")
		if err := os.WriteFile(path, contents, 0o600); err != nil {
			t.Fatal(err)
		}
		store, err := Open(path, schemaV1, Options{})
		if err != nil {
			t.Errorf("%s: %v", name, err)
			return
		}
		isSame := store.ID == id
		if isSame && checkValues { // only for truncated files, as bbolt has no checksum of values
			for i := range 50 {
				if get(store, fmt.Sprintf("k%02d", i)) != strings.Repeat("v", 300) {
					t.Errorf("%s: opened as the same store, but k%02d is missing", name, i)
					break
				}
			}
		}
		if !isSame && store.QuarantinePath == "" && len(contents) > 0 {
			t.Errorf("%s: opened as a new store, but no quarantine was reported", name)
		}
		if store.QuarantinePath != "" {
			_ = os.Remove(store.QuarantinePath)
		}
		_ = store.Close()
		_ = os.Remove(path)
	}
	for length := 0; length < len(intact); length += 509 {
		check(fmt.Sprintf("truncated to %d bytes", length), intact[:length], true)
	}
	for offset := 0; offset < len(intact); offset += 1024 {
		damaged := bytes.Clone(intact)
		for i := range 64 {
			damaged[offset+i] ^= 0xa5
		}
		check(fmt.Sprintf("damaged at offset %d", offset), damaged, false)
	}
}

func TestReportsLockOwner(t *testing.T) {
	path := filepath.Join(t.TempDir(), "x.db")
	store := mustOpen(t, path, schemaV1)
	_, err := Open(path, schemaV1, Options{})
	if !errors.Is(err, ErrLocked) || !strings.Contains(err.Error(), fmt.Sprintf("pid %d", os.Getpid())) {
		t.Errorf("%v, want an error that names the owner", err)
	}
	var failure *Error
	if !errors.As(err, &failure) || failure.Op != OpOpen || failure.Path != path || failure.Owner == "" {
		t.Errorf("%+v, want an error of opening %s with its owner", failure, path)
	}
	_ = store.Close()
	mustOpen(t, path, schemaV1)
}

func TestStaysBelowMaxBytes(t *testing.T) {
	store, err := Open(filepath.Join(t.TempDir(), "x.db"), schemaV1, Options{MaxBytes: 1 << 20})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = store.Close() }()
	failed := false
	for i := 0; i < 100 && !failed; i++ {
		failed = store.Update(func(tx *Tx) error {
			return tx.Bucket(itemsBucket).Put([]byte(fmt.Sprint(i)), make([]byte, 64<<10))
		}) != nil
	}
	if !failed {
		t.Error("the file grew beyond MaxBytes")
	}
	if get(store, "0") == "" {
		t.Error("a value written before the failure is missing")
	}
}
