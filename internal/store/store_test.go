package store

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
)

var itemsBucket = []byte("things")

// schema's second layout adds a mark, so that a migration has something to do.
var schemaV1 = Schema{Kind: "test", Migrations: []func(*Tx) error{
	func(tx *Tx) error { _, err := tx.CreateBucket(itemsBucket); return err },
}}
var schemaV2 = Schema{Kind: "test", Migrations: append(schemaV1.Migrations[:1:1],
	func(tx *Tx) error { return tx.Bucket(itemsBucket).Put([]byte("mark"), []byte("2")) })}

func put(t *testing.T, store *Store, key, value string) {
	t.Helper()
	if err := store.Update(func(tx *Tx) error { return tx.Bucket(itemsBucket).Put([]byte(key), []byte(value)) }); err != nil {
		t.Fatal(err)
	}
}

func get(store *Store, key string) (value string) {
	_ = store.View(func(tx *Tx) error { value = string(tx.Bucket(itemsBucket).Get([]byte(key))); return nil })
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
		t.Error("an older layout was passed off as the newer to a reader")
	}
	store = mustOpen(t, path, schemaV2)
	if store.ID != id || get(store, "k") != "v" || get(store, "mark") != "2" || store.Layout() != 2 || store.QuarantinePath != "" {
		t.Errorf("after the migration: %v of %v, %q, layout %d, aside %q", store.ID, id, get(store, "mark"), store.Layout(), store.QuarantinePath)
	}
	_ = store.Close()
	failing := Schema{Kind: "test", Migrations: append(schemaV2.Migrations[:2:2], func(tx *Tx) error {
		_ = tx.Bucket(itemsBucket).Put([]byte("k"), []byte("lost"))
		return errors.New("no")
	})}
	if _, err := Open(path, failing, Options{}); err == nil {
		t.Error("a migration that failed went through")
	}
	if store = mustOpen(t, path, schemaV2); get(store, "k") != "v" {
		t.Error("a migration that failed left traces")
	}
	_ = store.Close()

	store = mustOpen(t, path, schemaV1) // an older release finds a newer file
	if !errors.Is(store.QuarantineReason, ErrNewerLayout) || !strings.Contains(store.QuarantinePath, "newer") || store.ID == id || get(store, "k") != "" {
		t.Errorf("newer file: aside %q, %v, id %v", store.QuarantinePath, store.QuarantineReason, store.ID)
	}
	if quarantined := mustOpen(t, store.QuarantinePath, schemaV2); get(quarantined, "k") != "v" {
		t.Error("what was set aside is not whole")
	}
}

func TestQuarantinesUnrecognizedFile(t *testing.T) {
	dir := t.TempDir()
	for name, create := range map[string]func(path string){
		"text": func(path string) { _ = os.WriteFile(path, []byte(strings.Repeat("dear diary\n", 5000)), 0o600) },
		"other kind": func(path string) {
			store := mustOpen(t, path, Schema{Kind: "other", Migrations: schemaV1.Migrations})
			_ = store.Close()
		},
	} {
		path := filepath.Join(dir, name)
		create(path)
		before, _ := os.ReadFile(path)
		store := mustOpen(t, path, schemaV1)
		after, _ := os.ReadFile(store.QuarantinePath)
		if !errors.Is(store.QuarantineReason, ErrUnrecognized) || !bytes.Equal(before, after) {
			t.Errorf("%s: %v, aside %q", name, store.QuarantineReason, store.QuarantinePath)
		}
		if _, err := Open(path, Schema{Kind: "third", Migrations: schemaV1.Migrations}, Options{ReadOnly: true}); err == nil {
			t.Errorf("%s: a reader was given another kind", name)
		}
	}
	if err := os.Mkdir(filepath.Join(dir, "folder"), 0o700); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(filepath.Join(dir, "folder"), schemaV1, Options{}); err == nil {
		t.Error("a folder is no store")
	}
}

// A file cut off at any length, or with any page spoiled, yields the store as it
// was, or is set aside and said so: never a crash, never a part.
func TestCorruptFileIsNeverReadInPart(t *testing.T) {
	dir := t.TempDir()
	intactPath := filepath.Join(dir, "whole")
	store := mustOpen(t, intactPath, schemaV1)
	for i := range 50 {
		put(t, store, fmt.Sprintf("k%02d", i), strings.Repeat("v", 300))
	}
	id := store.ID
	_ = store.Close()
	raw, err := os.ReadFile(intactPath)
	if err != nil {
		t.Fatal(err)
	}
	check := func(name string, contents []byte, checkValues bool) {
		path := filepath.Join(dir, "torn")
		if err := os.WriteFile(path, contents, 0o600); err != nil {
			t.Fatal(err)
		}
		store, err := Open(path, schemaV1, Options{})
		if err != nil {
			t.Errorf("%s: %v", name, err)
			return
		}
		if store.ID == id && checkValues { // bbolt has no checksum of values
			for i := range 50 {
				if get(store, fmt.Sprintf("k%02d", i)) != strings.Repeat("v", 300) {
					t.Errorf("%s: opened as the same store, and k%02d is gone", name, i)
					break
				}
			}
		} else if store.ID != id && store.QuarantinePath == "" && len(contents) > 0 {
			t.Errorf("%s: another store, and nothing was said", name)
		}
		if store.QuarantinePath != "" {
			_ = os.Remove(store.QuarantinePath)
		}
		_ = store.Close()
		_ = os.Remove(path)
	}
	for n := 0; n < len(raw); n += 509 {
		check(fmt.Sprintf("cut to %d", n), raw[:n], true)
	}
	for at := 0; at < len(raw); at += 1024 {
		damaged := bytes.Clone(raw)
		for i := range 64 {
			damaged[at+i] ^= 0xa5
		}
		check(fmt.Sprintf("spoiled at %d", at), damaged, false)
	}
}

func TestReportsLockOwner(t *testing.T) {
	path := filepath.Join(t.TempDir(), "x.db")
	store := mustOpen(t, path, schemaV1)
	_, err := Open(path, schemaV1, Options{})
	if !errors.Is(err, ErrLocked) || !strings.Contains(err.Error(), fmt.Sprintf("pid %d", os.Getpid())) {
		t.Errorf("held: %v, want one that names who has it", err)
	}
	_ = store.Close()
	mustOpen(t, path, schemaV1)
}

type testWrite struct {
	key      string
	applyErr error
	done     chan error
}

func (w *testWrite) Apply(tx *Tx) error {
	if w.applyErr != nil {
		return w.applyErr
	}
	return tx.Bucket(itemsBucket).Put([]byte(w.key), []byte("v"))
}
func (w *testWrite) Done(err error) { w.done <- err }

// What is told to be written is; a group that fails leaves nothing, and the next
// goes on.
func TestWriterCommitsBatchesAtomically(t *testing.T) {
	store := mustOpen(t, filepath.Join(t.TempDir(), "x.db"), schemaV1)
	writer := NewWriter(store, 8, 32)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	failing := &testWrite{key: "bad", applyErr: errors.New("no"), done: make(chan error, 1)}
	sibling := &testWrite{key: "beside", done: make(chan error, 1)}
	writer.Submit(sibling)
	writer.Submit(failing) // one group with beside, as nobody commits yet
	for range 100 {
		writer.Submit(&testWrite{key: "many", done: make(chan error, 1)})
	}
	rejected := &testWrite{done: make(chan error, 1)}
	if writer.Submit(rejected); !errors.Is(<-rejected.done, ErrQueueFull) {
		t.Error("too much waits, and nobody was told")
	}
	go func() { writer.Run(ctx); close(done) }()
	if <-failing.done == nil || <-sibling.done == nil || get(store, "beside") != "" {
		t.Error("a group that failed left a part")
	}
	var wg sync.WaitGroup
	for i := range 20 {
		wg.Go(func() {
			write := &testWrite{key: fmt.Sprint(i), done: make(chan error, 1)}
			for writer.Submit(write); ; writer.Submit(write) {
				err := <-write.done
				if err == nil {
					break
				}
				if !errors.Is(err, ErrQueueFull) {
					t.Errorf("write %d: %v", i, err)
					return
				}
			}
			if get(store, write.key) != "v" {
				t.Errorf("write %d was told done and is not there", i)
			}
		})
	}
	wg.Wait()
	cancel()
	<-done
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
		t.Error("it grew beyond its bound")
	}
	if get(store, "0") == "" {
		t.Error("what was written before is gone")
	}
}
