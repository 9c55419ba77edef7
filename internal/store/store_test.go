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

func put(t *testing.T, s *Store, key, value string) {
	t.Helper()
	if err := s.Update(func(tx *Tx) error { return tx.Bucket(itemsBucket).Put([]byte(key), []byte(value)) }); err != nil {
		t.Fatal(err)
	}
}

func get(s *Store, key string) (value string) {
	_ = s.View(func(tx *Tx) error { value = string(tx.Bucket(itemsBucket).Get([]byte(key))); return nil })
	return value
}

func mustOpen(t *testing.T, path string, schema Schema) *Store {
	t.Helper()
	s, err := Open(path, schema, Options{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s
}

func TestMigratesLayoutAndQuarantinesNewerLayout(t *testing.T) {
	path := filepath.Join(t.TempDir(), "a", "x.db")
	s := mustOpen(t, path, schemaV1)
	put(t, s, "k", "v")
	id := s.ID
	_ = s.Close()
	if _, err := Open(path, schemaV2, Options{ReadOnly: true}); err == nil {
		t.Error("an older layout was passed off as the newer to a reader")
	}
	s = mustOpen(t, path, schemaV2)
	if s.ID != id || get(s, "k") != "v" || get(s, "mark") != "2" || s.Layout() != 2 || s.QuarantinePath != "" {
		t.Errorf("after the migration: %v of %v, %q, layout %d, aside %q", s.ID, id, get(s, "mark"), s.Layout(), s.QuarantinePath)
	}
	_ = s.Close()
	failing := Schema{Kind: "test", Migrations: append(schemaV2.Migrations[:2:2], func(tx *Tx) error {
		_ = tx.Bucket(itemsBucket).Put([]byte("k"), []byte("lost"))
		return errors.New("no")
	})}
	if _, err := Open(path, failing, Options{}); err == nil {
		t.Error("a migration that failed went through")
	}
	if s = mustOpen(t, path, schemaV2); get(s, "k") != "v" {
		t.Error("a migration that failed left traces")
	}
	_ = s.Close()

	s = mustOpen(t, path, schemaV1) // an older release finds a newer file
	if !errors.Is(s.QuarantineReason, ErrNewerLayout) || !strings.Contains(s.QuarantinePath, "newer") || s.ID == id || get(s, "k") != "" {
		t.Errorf("newer file: aside %q, %v, id %v", s.QuarantinePath, s.QuarantineReason, s.ID)
	}
	if back := mustOpen(t, s.QuarantinePath, schemaV2); get(back, "k") != "v" {
		t.Error("what was set aside is not whole")
	}
}

func TestQuarantinesUnrecognizedFile(t *testing.T) {
	dir := t.TempDir()
	for name, make := range map[string]func(path string){
		"text": func(path string) { _ = os.WriteFile(path, []byte(strings.Repeat("dear diary\n", 5000)), 0o600) },
		"other kind": func(path string) {
			s := mustOpen(t, path, Schema{Kind: "other", Migrations: schemaV1.Migrations})
			_ = s.Close()
		},
	} {
		path := filepath.Join(dir, name)
		make(path)
		before, _ := os.ReadFile(path)
		s := mustOpen(t, path, schemaV1)
		after, _ := os.ReadFile(s.QuarantinePath)
		if !errors.Is(s.QuarantineReason, ErrUnrecognized) || !bytes.Equal(before, after) {
			t.Errorf("%s: %v, aside %q", name, s.QuarantineReason, s.QuarantinePath)
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
	s := mustOpen(t, intactPath, schemaV1)
	for i := range 50 {
		put(t, s, fmt.Sprintf("k%02d", i), strings.Repeat("v", 300))
	}
	id := s.ID
	_ = s.Close()
	raw, err := os.ReadFile(intactPath)
	if err != nil {
		t.Fatal(err)
	}
	check := func(what string, text []byte, values bool) {
		path := filepath.Join(dir, "torn")
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		s, err := Open(path, schemaV1, Options{})
		if err != nil {
			t.Errorf("%s: %v", what, err)
			return
		}
		if s.ID == id && values { // bbolt has no checksum of values
			for i := range 50 {
				if get(s, fmt.Sprintf("k%02d", i)) != strings.Repeat("v", 300) {
					t.Errorf("%s: opened as the same store, and k%02d is gone", what, i)
					break
				}
			}
		} else if s.ID != id && s.QuarantinePath == "" && len(text) > 0 {
			t.Errorf("%s: another store, and nothing was said", what)
		}
		if s.QuarantinePath != "" {
			_ = os.Remove(s.QuarantinePath)
		}
		_ = s.Close()
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
	s := mustOpen(t, path, schemaV1)
	_, err := Open(path, schemaV1, Options{})
	if !errors.Is(err, ErrLocked) || !strings.Contains(err.Error(), fmt.Sprintf("pid %d", os.Getpid())) {
		t.Errorf("held: %v, want one that names who has it", err)
	}
	_ = s.Close()
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
	s := mustOpen(t, filepath.Join(t.TempDir(), "x.db"), schemaV1)
	w := NewWriter(s, 8, 32)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	bad := &testWrite{key: "bad", applyErr: errors.New("no"), done: make(chan error, 1)}
	sibling := &testWrite{key: "beside", done: make(chan error, 1)}
	w.Submit(sibling)
	w.Submit(bad) // one group with beside, as nobody commits yet
	for range 100 {
		w.Submit(&testWrite{key: "many", done: make(chan error, 1)})
	}
	rejected := &testWrite{done: make(chan error, 1)}
	if w.Submit(rejected); !errors.Is(<-rejected.done, ErrQueueFull) {
		t.Error("too much waits, and nobody was told")
	}
	go func() { w.Run(ctx); close(done) }()
	if <-bad.done == nil || <-sibling.done == nil || get(s, "beside") != "" {
		t.Error("a group that failed left a part")
	}
	var wg sync.WaitGroup
	for i := range 20 {
		wg.Go(func() {
			x := &testWrite{key: fmt.Sprint(i), done: make(chan error, 1)}
			for w.Submit(x); ; w.Submit(x) {
				err := <-x.done
				if err == nil {
					break
				}
				if !errors.Is(err, ErrQueueFull) {
					t.Errorf("write %d: %v", i, err)
					return
				}
			}
			if get(s, x.key) != "v" {
				t.Errorf("write %d was told done and is not there", i)
			}
		})
	}
	wg.Wait()
	cancel()
	<-done
}

func TestStaysBelowMaxBytes(t *testing.T) {
	s, err := Open(filepath.Join(t.TempDir(), "x.db"), schemaV1, Options{MaxBytes: 1 << 20})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	failed := false
	for i := 0; i < 100 && !failed; i++ {
		failed = s.Update(func(tx *Tx) error {
			return tx.Bucket(itemsBucket).Put([]byte(fmt.Sprint(i)), make([]byte, 64<<10))
		}) != nil
	}
	if !failed {
		t.Error("it grew beyond its bound")
	}
	if get(s, "0") == "" {
		t.Error("what was written before is gone")
	}
}
