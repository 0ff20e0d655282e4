package config

import (
	"math"

	"golang.org/x/sys/unix"
)

// Shares of the process's memory and descriptors.
const (
	runtimeShare   = 0.65     // of the memory: most that the Go runtime may keep; the rest is for socket buffers and peaks
	residentShare  = 0.8      // of the memory: the same with the program itself
	programBytes   = 16 << 20 // resident memory of the program's code and data
	callersShare   = 0.6      // of the memory: most that is held for callers
	ownBytes       = 12 << 20 // memory that the runtime keeps for the daemon itself
	minHeldDivisor = 8        // of the memory, at least 1/minHeldDivisor is held for callers

	connectionsShare     = 0.25 // of the memory: most that callers' connections take
	callerDescriptors    = 0.7  // of the descriptors: connections of callers
	serverDescriptors    = 0.15 // of the descriptors: connections to backend servers; the rest is for daemons, the store and files
	defaultMaxDescriptor = 1024 // if neither the settings nor the system state a limit
)

// RuntimeBytes returns the memory that the Go runtime may keep.
func (f *Fenced) RuntimeBytes() int64 {
	memory := float64(f.MemoryBytes())
	kept := min(runtimeShare*memory, residentShare*memory-programBytes)
	return int64(max(kept, memory/2))
}

// HeldBytes returns the memory that may be held for callers: connections, bodies of
// requests, and answers.
func (f *Fenced) HeldBytes() int64 {
	memory := f.MemoryBytes()
	held := min(int64(callersShare*float64(memory)), f.RuntimeBytes()-ownBytes)
	return max(held, memory/minHeldDivisor)
}

// CallerConnections returns the number of connections of callers that may be open, if each
// takes the given memory.
func (f *Fenced) CallerConnections(bytesEach int64) int {
	byMemory := connectionsShare * float64(f.MemoryBytes()) / float64(bytesEach)
	return max(int(min(byMemory, callerDescriptors*f.descriptors())), 1)
}

// ServerConnections returns the number of connections to backend servers that may be open.
func (f *Fenced) ServerConnections() int { return max(int(serverDescriptors*f.descriptors()), 1) }

// descriptors returns the number of descriptors that the process may open.
func (f *Fenced) descriptors() float64 {
	limit := math.Inf(1)
	if f.MaxDescriptors > 0 {
		limit = float64(f.MaxDescriptors)
	}
	var r unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &r); err == nil {
		limit = min(limit, float64(r.Cur))
	}
	if math.IsInf(limit, 1) {
		return defaultMaxDescriptor
	}
	return limit
}
