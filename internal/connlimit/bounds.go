package connlimit

const (
	// reservedDescriptors are kept for listeners, the store, datagrams and logs, as the
	// operators' settings require.
	reservedDescriptors = 200
	// placeMemory is what a place costs beside the heads, bodies and responses that the
	// memory account holds. An open connection took 6 KB of resident memory (1,500 at an
	// unfinished head); the kernel's structures and the stack of a handler come on top.
	// Connections get a quarter of the memory.
	placeMemory = 16 << 10
	memoryShare = 4
)

// Places returns the number of places for connections of a process. A figure of 0 or less is
// unknown and doesn't bind; the result is 0 if both are.
func Places(descriptors int, memory int64) int {
	limit := 0
	if descriptors > 0 {
		limit = max(descriptors-reservedDescriptors, 1)
	}
	if byMemory := int(memory / memoryShare / placeMemory); memory > 0 && (limit == 0 || byMemory < limit) {
		limit = max(byMemory, 1)
	}
	return limit
}

const (
	// bufferShare is the part of the memory that receive buffers of the kernel may fill.
	bufferShare = 8
	// largestBuffer is the size for which the kernel opens a window of 64 KB, as it does by
	// default; smallestBuffer takes most heads at once.
	largestBuffer  = 64 << 10
	smallestBuffer = 4 << 10
	// bufferFraction makes buffers smaller before the memory for them is used up.
	bufferFraction = 32
)

// Buffers shares out the memory of the kernel's receive buffers among connections. It is
// not safe for concurrent use.
type Buffers struct {
	budget, inUse int64
}

// SetMemory sets the memory of the machine. 0 or less is unknown.
func (b *Buffers) SetMemory(memory int64) { b.budget = memory / bufferShare }

// Take returns the size of the receive buffer of a new connection. Give returns it. The sum
// stays below the budget and the smallest size for each connection, counting that the kernel
// doubles what it is asked for.
func (b *Buffers) Take() int {
	size := int64(largestBuffer)
	if b.budget > 0 {
		size = max(min(size, (b.budget-b.inUse)/bufferFraction), smallestBuffer)
	}
	b.inUse += 2 * size
	return int(size)
}

// Give returns a buffer of the given size.
func (b *Buffers) Give(size int) { b.inUse -= 2 * int64(size) }
