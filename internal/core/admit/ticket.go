package admit

import (
	"sync/atomic"
	"time"
)

// Request is what admission needs to know of a request.
type Request struct {
	Workspace, Caller string
	// Rank is the index of the rank, 0 for the most urgent.
	Rank int
	// Tokens is the estimated cost: uncached prompt and expected output tokens.
	Tokens int
	// Deadline is the latest start; zero means now plus the rank's maximum wait.
	Deadline time.Time
	// Resumed is set for work that already ran elsewhere. It enters ahead of
	// new work of its rank and is never refused.
	Resumed bool
	// Ready is called once when a queued ticket starts (nil) or is refused
	// (*RefusedError), possibly before Offer has returned. It is called without
	// locks held and must not block.
	Ready func(error)
}

type ticketState = int32

const (
	queued ticketState = iota
	running
	ended
)

// Ticket is a request that was offered and not refused at once.
type Ticket struct {
	req      Request
	cost     float64
	deadline time.Time
	state    atomic.Int32
	// flow is nil for a ticket that started while nothing waited.
	flow *callerFlow
	// prev and next link the tickets of one queue.
	prev, next *Ticket
	list       *ticketList
	// heapAt is the position among the deadlines, -1 when absent.
	heapAt int
}

// ticketList is a FIFO from which any ticket can be taken.
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

// deadlines is a heap of queued tickets, the earliest deadline first.
type deadlines []*Ticket

func (d deadlines) Len() int           { return len(d) }
func (d deadlines) Less(i, j int) bool { return d[i].deadline.Before(d[j].deadline) }

func (d deadlines) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].heapAt, d[j].heapAt = i, j
}

// Push implements heap.Interface.
func (d *deadlines) Push(x any) {
	t := x.(*Ticket)
	t.heapAt = len(*d)
	*d = append(*d, t)
}

// Pop implements heap.Interface.
func (d *deadlines) Pop() any {
	old := *d
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*d = old[:len(old)-1]
	t.heapAt = -1
	return t
}
