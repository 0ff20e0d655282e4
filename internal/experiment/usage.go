package experiment

import (
	"runtime"
	"syscall"
	"time"
)

// processorTime returns the user and system time that this process has used, or 0 if it
// cannot be read.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// memoryInUse returns the bytes of heap and stacks in use after garbage collection.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

const (
	kilobyte = 1000.0
	megabyte = 1000 * kilobyte // bytes
)
