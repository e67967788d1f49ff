//go:build !linux

package rpsystem

import "syscall"

func processAttributes() *syscall.SysProcAttr { return nil }
