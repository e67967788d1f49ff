package rpsystem

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
)

// processAttributes returns attributes that make the kernel kill a process when
// the test binary exits without cleanup, for example after a timeout.
func processAttributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}

// processStopped reports whether every thread of a process is stopped.
func processStopped(pid int) bool {
	threads, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	for _, thread := range threads {
		stat, _ := os.ReadFile(thread)
		// The state follows the program name, which is in parentheses.
		_, state, _ := strings.Cut(string(stat), ") ")
		if !strings.HasPrefix(state, "T") {
			return false
		}
	}
	return len(threads) > 0
}
