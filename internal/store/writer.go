package store

import "context"

// Write is one change of a batch.
type Write interface {
	// Apply makes the change in the batch's transaction. An error rolls the whole batch back.
	Apply(tx *Tx) error
	// Done is called once: with nil when the batch is durable, with the error if it was
	// rolled back, or with ErrQueueFull, by Submit, if the write was not queued. Else it
	// runs in the goroutine of Writer.Run, as Apply does.
	Done(err error)
}

// Writer commits the writes that wait in one transaction, while the batch before is being
// synced: the disk's sync is paid once for a batch, and a lone write waits for no others.
type Writer struct {
	store    *Store
	maxBatch int
	queue    chan Write
}

// NewWriter returns a Writer that commits up to maxBatch writes at once and lets up to
// queueSize wait.
func NewWriter(store *Store, maxBatch, queueSize int) *Writer {
	return &Writer{store: store, maxBatch: maxBatch, queue: make(chan Write, queueSize)}
}

// Submit queues a write and returns at once. If the queue is full it calls the write's Done
// with ErrQueueFull.
func (w *Writer) Submit(write Write) {
	select {
	case w.queue <- write:
	default:
		write.Done(ErrQueueFull)
	}
}

// Run commits until ctx ends; writes that wait then are committed first.
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

// collect waits for a write and appends it with those queued behind it, up to maxBatch. After
// ctx has ended it does not wait, so that the batch is empty when no write is queued.
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
