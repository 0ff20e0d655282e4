package scenarios

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestPausedProcessStandsStill checks that no thread of a process runs once pause has
// returned, so that a script's next command finds a daemon that cannot answer.
func TestPausedProcessStandsStill(t *testing.T) {
	const rounds = 50
	for range rounds {
		p := startDormant(t)
		must.NoError(t, p.pause())
		for _, file := range threadFiles(t, p) {
			must.EqOp(t, "T", threadState(t, file))
		}
		p.signal(syscall.SIGKILL)
		<-p.done
	}
}

// startDormant starts a process with some threads, of which none does anything.
func startDormant(t *testing.T) *process {
	sc := &scenario{searchPath: os.Getenv("PATH")}
	p := &process{name: "dormant", logFile: filepath.Join(t.TempDir(), "dormant.log")}
	must.NoError(t, sc.start(p, "dormant"))
	t.Cleanup(func() { p.signal(syscall.SIGKILL) })
	for len(threadFiles(t, p)) < 3 {
		time.Sleep(time.Millisecond)
	}
	return p
}

// threadFiles returns the files that hold the states of a process's threads.
func threadFiles(t *testing.T, p *process) []string {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
	must.NoError(t, err)
	return files
}

// threadState returns the state of a thread from its file: "T" if it is stopped.
func threadState(t *testing.T, file string) string {
	stat, err := os.ReadFile(file)
	must.NoError(t, err)
	// The state follows the program's name, which stands in parentheses.
	_, afterName, _ := strings.Cut(string(stat), ") ")
	return afterName[:1]
}
