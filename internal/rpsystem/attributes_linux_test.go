package rpsystem

import "syscall"

// processAttributes make the kernel kill a process when the test binary ends
// without its cleanup, such as after a timeout.
func processAttributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
