package gateway

import (
	"github.com/chicorylug/chicorylug/internal/bytebudget"
	"github.com/chicorylug/chicorylug/internal/config"
)

// LargestBody returns the size of the longest request body, in bytes, that a daemon with this
// memory (in mebibytes) holds while it holds nothing else.
func LargestBody(memoryMB float64) int64 {
	fenced := &config.Fenced{MemoryMB: memoryMB}
	return bytebudget.New(fenced.HeldBytes()).MostFor(bytebudget.Body)
}
