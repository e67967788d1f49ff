//go:build !linux

package rpsystem

import (
	"os/exec"
	"strconv"
	"strings"
	"syscall"
)

func processAttributes() *syscall.SysProcAttr { return nil }

// processStopped reports whether a process is stopped.
func processStopped(pid int) bool {
	state, _ := exec.Command("ps", "-o", "state=", "-p", strconv.Itoa(pid)).Output()
	return strings.HasPrefix(strings.TrimSpace(string(state)), "T")
}
