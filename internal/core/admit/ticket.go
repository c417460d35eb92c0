package admit

import (
	"sync/atomic"
	"time"
)

// Request describes a request for admission.
type Request struct {
	Workspace, Caller string
	// Rank is the index of the rank, 0 for the most urgent.
	Rank int
	// Tokens is the estimated cost: uncached prompt and expected output tokens.
	Tokens int
	// Deadline is the latest start time. Zero means now plus the rank's maximum wait.
	Deadline time.Time
	// Resumed is set for a request that has already run at another endpoint. It
	// is queued ahead of the new requests of its rank and is never refused.
	Resumed bool
	// Ready is called once when a queued ticket starts (nil) or is refused
	// (*RefusedError), possibly before Offer has returned. It is called without
	// the lock and must not block.
	Ready func(error)
}

type ticketState = int32

const (
	stateQueued ticketState = iota
	stateRunning
	stateEnded
)

// Ticket is a request that Offer has started or queued.
type Ticket struct {
	req      Request
	cost     float64
	deadline time.Time
	state    atomic.Int32
	// flow is nil for a ticket that was started by startFast.
	flow *callerFlow
	// prev and next link the tickets of one queue.
	prev, next *Ticket
	list       *ticketList
	// heapIndex is the position in the deadline heap, -1 if the ticket is not in it.
	heapIndex int
}

// ticketList is a FIFO queue that supports the removal of any ticket.
type ticketList struct{ head, tail *Ticket }

func (l *ticketList) push(t *Ticket) {
	t.list, t.prev, t.next = l, l.tail, nil
	if l.tail != nil {
		l.tail.next = t
	} else {
		l.head = t
	}
	l.tail = t
}

func (l *ticketList) remove(t *Ticket) {
	if t.prev != nil {
		t.prev.next = t.next
	} else {
		l.head = t.next
	}
	if t.next != nil {
		t.next.prev = t.prev
	} else {
		l.tail = t.prev
	}
	t.prev, t.next, t.list = nil, nil, nil
}

// deadlineHeap is a heap of queued tickets by deadline, earliest first.
type deadlineHeap []*Ticket

func (d deadlineHeap) Len() int           { return len(d) }
func (d deadlineHeap) Less(i, j int) bool { return d[i].deadline.Before(d[j].deadline) }

func (d deadlineHeap) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].heapIndex, d[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (d *deadlineHeap) Push(x any) {
	t := x.(*Ticket)
	t.heapIndex = len(*d)
	*d = append(*d, t)
}

// Pop implements heap.Interface.
func (d *deadlineHeap) Pop() any {
	old := *d
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*d = old[:len(old)-1]
	t.heapIndex = -1
	return t
}
