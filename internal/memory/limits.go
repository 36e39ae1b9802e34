package memory

const (
	// baseBytes is what a process needs beside requests and the garbage that they leave: some
	// 18 MB of program pages, which the Go runtime doesn't count, the state of a gateway, and
	// the buffers of its sockets.
	baseBytes = 40 << 20
	// tinyBytes is the memory below which baseBytes would leave less than a quarter of it to
	// requests.
	tinyBytes = 2 * baseBytes
)

// Limit returns the limit of the account of a process that may use the given memory: half of
// what the base leaves. The other half is for garbage, which grows to half of what is live
// between two collections (GOGC is 50), and for buffers that have been evicted and not yet
// collected. 0 stands for no limit.
func Limit(memoryBytes int64) int64 {
	if memoryBytes < tinyBytes {
		return max(memoryBytes, 0) / 4
	}
	return (memoryBytes - baseBytes) / 2
}

// RuntimeLimit returns the soft limit of the Go runtime for such a process: five sixths of
// what the base leaves, or half the memory if that is more. Under a crowd whose bodies are
// evicted all the time the collector exceeds it by some megabytes. 0 stands for no limit.
func RuntimeLimit(memoryBytes int64) int64 {
	return max((memoryBytes-baseBytes)/6*5, memoryBytes/2, 0)
}
