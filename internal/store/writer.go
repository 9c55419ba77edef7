package store

import "context"

// Write is a change that a Writer commits in a batch with others.
type Write interface {
	// Apply makes the change in the batch's transaction. An error rolls back the whole batch.
	Apply(tx *Tx) error
	// Done is called once: with nil when the batch is durable, or with the error if the
	// batch was rolled back. Like Apply, it is called in the goroutine of Writer.Run. If
	// the queue is full, Submit calls Done with ErrQueueFull in its caller's goroutine.
	Done(err error)
}

// Writer commits all queued writes in one transaction. Writes are queued while the previous
// batch is synced to disk, so that one sync serves a batch, and a single write is committed
// without waiting for others.
type Writer struct {
	store    *Store
	maxBatch int
	queue    chan Write
}

// NewWriter returns a Writer that commits up to maxBatch writes in one transaction and queues
// up to queueSize writes.
func NewWriter(store *Store, maxBatch, queueSize int) *Writer {
	return &Writer{store: store, maxBatch: maxBatch, queue: make(chan Write, queueSize)}
}

// Submit queues a write without blocking. If the queue is full, it calls the write's Done with
// ErrQueueFull.
func (w *Writer) Submit(write Write) {
	select {
	case w.queue <- write:
	default:
		write.Done(ErrQueueFull)
	}
}

// Run commits writes until ctx ends. Before it returns, it commits the writes that are queued.
func (w *Writer) Run(ctx context.Context) {
	batch := make([]Write, 0, w.maxBatch)
	for {
		batch = w.collect(ctx, batch[:0])
		if len(batch) == 0 {
			return
		}
		w.commit(batch)
	}
}

// collect waits for a write and appends it and the writes queued after it, up to maxBatch.
// After ctx has ended it does not wait, so that the batch is empty if no write is queued.
func (w *Writer) collect(ctx context.Context, batch []Write) []Write {
	select {
	case write := <-w.queue:
		batch = append(batch, write)
	case <-ctx.Done():
	}
	for len(batch) < w.maxBatch {
		select {
		case write := <-w.queue:
			batch = append(batch, write)
		default:
			return batch
		}
	}
	return batch
}

func (w *Writer) commit(batch []Write) {
	err := w.store.Update(func(tx *Tx) error {
		for _, write := range batch {
			if err := write.Apply(tx); err != nil {
				return err
			}
		}
		return nil
	})
	for _, write := range batch {
		write.Done(err)
	}
}
