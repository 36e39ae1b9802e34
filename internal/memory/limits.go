package memory

// minRuntimeReserve is the least that is left to what the Go runtime doesn't manage: the
// program's own pages and, counted against a machine, the buffers of its sockets.
const minRuntimeReserve = 32 << 20

// Limit returns the limit of the account of a process that may use the given memory: half of
// it. The rest is for garbage, which grows to half of what is live between two collections
// (GOGC is 50), stacks, the program and sockets. 0 stands for no limit.
func Limit(memoryBytes int64) int64 { return max(memoryBytes, 0) / 2 }

// RuntimeLimit returns the soft limit of the Go runtime for such a process: four fifths of
// the memory, less if that leaves under 32 MB. It is at least the account's limit. 0 stands
// for no limit.
func RuntimeLimit(memoryBytes int64) int64 {
	return max(min(memoryBytes/5*4, memoryBytes-minRuntimeReserve), Limit(memoryBytes))
}
