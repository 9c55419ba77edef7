package store

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"sync"
	"testing"
)

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

func newTestWrite(key string) *testWrite {
	return &testWrite{key: key, done: make(chan error, 1)}
}

// A write that is reported as done can be read. A batch that fails is rolled back as a whole,
// and later batches are committed.
func TestWriterCommitsBatchesAtomically(t *testing.T) {
	store := mustOpen(t, filepath.Join(t.TempDir(), "x.db"), schemaV1)
	writer := NewWriter(store, 8, 32)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	failing, sibling := newTestWrite("bad"), newTestWrite("beside")
	failing.applyErr = errors.New("no")
	writer.Submit(sibling)
	writer.Submit(failing) // in the same batch as sibling, as Run has not started
	for range 100 {
		writer.Submit(newTestWrite("many"))
	}
	rejected := newTestWrite("")
	if writer.Submit(rejected); !errors.Is(<-rejected.done, ErrQueueFull) {
		t.Error("a write was not rejected although the queue is full")
	}
	go func() { writer.Run(ctx); close(done) }()
	if <-failing.done == nil || <-sibling.done == nil || get(store, "beside") != "" {
		t.Error("part of a failed batch was reported as done or stored")
	}
	var wg sync.WaitGroup
	for i := range 20 {
		wg.Go(func() {
			write := newTestWrite(fmt.Sprint(i))
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
				t.Errorf("write %d was reported as done but cannot be read", i)
			}
		})
	}
	wg.Wait()
	cancel()
	<-done
}
