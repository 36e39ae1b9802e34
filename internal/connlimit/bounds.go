package connlimit

const (
	// reservedDescriptors are kept for listeners, the store, datagrams and logs, as the
	// operators' settings require.
	reservedDescriptors = 200
	// connectionMemory is what a connection costs beside the heads, bodies and responses
	// that the memory account holds: two stacks of 8 KB, buffers of 4 KB each way, and the
	// structures of the runtime and the kernel. Connections get a quarter of the memory.
	connectionMemory = 32 << 10
	memoryShare      = 4
)

// MaxConnections returns the bound of the connections that a process accepts. Each may need
// another one to an endpoint or a gateway, so that they get half of the descriptors that
// are left. A figure of 0 or less is unknown and doesn't bind; the result is 0 if both are.
func MaxConnections(descriptors int, memory int64) int {
	limit := 0
	if descriptors > 0 {
		limit = max((descriptors-reservedDescriptors)/2, 1)
	}
	if byMemory := int(memory / memoryShare / connectionMemory); memory > 0 && (limit == 0 || byMemory < limit) {
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
