package inlet

import "syscall"

const (
	// reservedBytes is the memory for everything but what connections hold: the program, and
	// answers up to their own limit.
	reservedBytes = 64 << 20
	// budgetShare is the share of the other memory that all connections may hold together, and
	// minBudgetShare that of all memory on a VM with little more than reservedBytes. The rest is
	// for kernel buffers and for bodies that are not collected yet.
	budgetShare    = 0.7
	minBudgetShare = 0.25
	// defaultBudgetBytes is the budget if the memory is not known.
	defaultBudgetBytes = 256 << 20
	// connBytes is what a connection holds without a request: the stack of its goroutine, and
	// its read and write buffers of 4 KB each.
	connBytes = 16 << 10
	// idleMemoryShare is the share of the memory that connections without a request may hold.
	idleMemoryShare = 0.25
	// defaultMemoryBytes is the assumed memory if none is known: that for which the default
	// budget is sized.
	defaultMemoryBytes = 448 << 20
	// heapShare is the share of a VM's memory that is the soft limit of the heap.
	heapShare = 0.6
)

// Shares of the descriptors for accepted connections. The rest is reserved for endpoints, peers,
// replicas and files.
const (
	// ShareWithEndpoints is for programs that use a connection to an endpoint for each request
	// that runs.
	ShareWithEndpoints = 0.45
	// ShareWithoutEndpoints is for all others.
	ShareWithoutEndpoints = 0.75
)

// Size is what the listeners of a process may use together.
type Size struct {
	// Connections is the number of accepted connections, which are divided among the listeners.
	Connections int
	// Bytes is the memory for what connections hold.
	Bytes int64
}

// SizeOf returns the size for a VM with a memory in bytes and a number of descriptors. 0 means
// that the memory is not known, and that the descriptors are those that the process may open.
// The share is that of the descriptors for accepted connections.
func SizeOf(memory int64, descriptors int, share float64) Size {
	if descriptors <= 0 {
		descriptors = processDescriptors()
	}
	size := Size{Bytes: defaultBudgetBytes}
	if memory > 0 {
		size.Bytes = int64(max(budgetShare*float64(memory-reservedBytes), minBudgetShare*float64(memory)))
	} else {
		memory = defaultMemoryBytes
	}
	size.Connections = min(int(share*float64(descriptors)), int(idleMemoryShare*float64(memory))/connBytes)
	return size
}

// SizeOfHeap returns the size for a process whose heap has a limit in bytes, which is heapShare
// of its VM; 0 means that it is not known. Bodies take at most half of the heap.
func SizeOfHeap(limit int64) Size {
	if limit <= 0 {
		return SizeOf(0, 0, ShareWithEndpoints)
	}
	size := SizeOf(int64(float64(limit)/heapShare), 0, ShareWithEndpoints)
	size.Bytes = min(size.Bytes, limit/2)
	return size
}

// processDescriptors returns how many descriptors the process may open.
func processDescriptors() int {
	const unknown = 1024 // The usual limit of a process.
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return unknown
	}
	const most = 1 << 20
	return int(min(limit.Cur, most))
}
