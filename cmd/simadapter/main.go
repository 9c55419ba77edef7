// Command simadapter hosts instances of the balancer on the simulator's wire: it
// reads batches of events from standard input and writes the actions to
// standard output.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"coralrelay/balance"
	"coralrelay/internal/simproto"
)

func main() {
	// The heap is small and short-lived; fewer collections leave the CPU to decisions.
	debug.SetGCPercent(400)
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// host keeps the instances of this process. A stopped instance stays as nil,
// so that what was in flight for it is told from an instance never started.
type adapter struct {
	instances map[int]*balance.Balancer
	actions   []balance.Action
	reply     []byte
}

// run answers batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	reader, writer := simproto.NewReader(in), bufio.NewWriter(out)
	h := adapter{instances: map[int]*balance.Balancer{}}
	var batch simproto.Batch
	for {
		switch err := reader.Read(&batch); {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
		h.reply = h.reply[:0]
		for i := range batch.Deliveries {
			if err := h.deliver(&batch, &batch.Deliveries[i]); err != nil {
				return err
			}
		}
		h.reply = simproto.AppendDone(h.reply, batch.Round)
		if _, err := writer.Write(h.reply); err != nil {
			return err
		}
		if err := writer.Flush(); err != nil {
			return err
		}
	}
}

// deliver hands one delivery to its instance and appends what it answers.
func (h *adapter) deliver(batch *simproto.Batch, d *simproto.Delivery) error {
	switch {
	case d.Start != nil:
		h.start(d)
		return nil
	case d.Stop:
		h.instances[d.Instance] = nil
		return nil
	}
	b, known := h.instances[d.Instance]
	if !known {
		return fmt.Errorf("batch %d: %s for instance %d, which was never started", batch.Round, d.Command, d.Instance)
	}
	if b == nil {
		return nil
	}
	h.handle(batch, d, b)
	return nil
}

// start makes an instance. Settings that it can't work with are its fault line.
func (h *adapter) start(d *simproto.Delivery) {
	h.instances[d.Instance] = nil
	err := d.Start.Err
	if err == nil {
		var b *balance.Balancer
		if b, err = balance.New(d.Start.Seed, d.Start.Settings); err == nil {
			h.instances[d.Instance] = b
			return
		}
	}
	h.reply = simproto.AppendError(h.reply, d.Instance, err.Error())
}

// handle runs one event; a panic becomes the instance's fault line.
func (h *adapter) handle(batch *simproto.Batch, d *simproto.Delivery, b *balance.Balancer) {
	defer func() {
		if p := recover(); p != nil {
			h.reply = simproto.AppendError(h.reply, d.Instance, fmt.Sprint(p))
			fmt.Fprintf(os.Stderr, "simadapter: batch %d: %s: %v\n%s", batch.Round, d.Command, p, debug.Stack())
		}
	}()
	h.actions = b.Handle(batch.Now, d.Event, h.actions[:0])
	for _, a := range h.actions {
		h.reply = simproto.AppendAction(h.reply, d.Instance, a)
	}
}
