package rpsystem

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// logTailBytes is the size of the part of each log that a failed test prints.
const logTailBytes = 6 << 10

var processCount atomic.Int64

// process is one process that runs the program under test.
type process struct {
	t       *testing.T
	name    string
	cmd     *exec.Cmd
	logFile string
	// done is closed when the process has exited.
	done chan struct{}
}

// withProcess starts the program with the given arguments and kills it at the
// end of the test.
func withProcess(t *testing.T, name string, args ...string) *process {
	t.Helper()
	g := NewWithT(t)
	dir := *logsDir
	if dir == "" {
		dir = t.TempDir()
	}
	g.Expect(os.MkdirAll(dir, 0o755)).To(Succeed())
	test := strings.ReplaceAll(t.Name(), "/", "-")
	p := &process{
		t: t, name: name, done: make(chan struct{}),
		logFile: filepath.Join(dir, fmt.Sprintf("%s-%03d-%s.log", test, processCount.Add(1), name)),
	}
	file, err := os.Create(p.logFile)
	g.Expect(err).NotTo(HaveOccurred())
	p.cmd = exec.Command(program, args...)
	p.cmd.Stdout, p.cmd.Stderr = file, file
	p.cmd.SysProcAttr = processAttributes()
	g.Expect(p.cmd.Start()).To(Succeed())
	go func() {
		defer close(p.done)
		_ = p.cmd.Wait()
		_ = file.Close()
	}()
	t.Cleanup(p.cleanUp)
	return p
}

// cleanUp kills the process and fails the test if the log shows a data race, a
// panic or a fatal error.
func (p *process) cleanUp() {
	p.kill()
	text := p.logText()
	for _, mark := range []string{"WARNING: DATA RACE", "\npanic: ", "fatal error: "} {
		if i := bytes.Index(text, []byte(mark)); i >= 0 {
			p.t.Errorf("%s: %s", p.name, text[i:min(i+logTailBytes, len(text))])
		}
	}
	if p.t.Failed() {
		p.t.Logf("the log of %s ends with:\n%s", p.name, text[max(0, len(text)-logTailBytes):])
	}
}

func (p *process) signal(signal syscall.Signal) {
	p.t.Helper()
	NewWithT(p.t).Expect(p.cmd.Process.Signal(signal)).To(Succeed())
}

// pause stops the process and returns when all its threads are stopped. On a busy
// machine, a process keeps running for hundreds of milliseconds after kill(2)
// returns.
func (p *process) pause() {
	_ = p.cmd.Process.Signal(syscall.SIGSTOP)
	for !processStopped(p.cmd.Process.Pid) {
		select {
		case <-p.done:
			return
		case <-time.After(time.Millisecond):
		}
	}
}

// kill kills the process, even if it is paused, and waits for its exit.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// exitCode waits until the process exits by itself and returns its exit code.
func (p *process) exitCode() int {
	p.t.Helper()
	NewWithT(p.t).Eventually(p.done, waitTimeout).Should(BeClosed(), p.name+" does not end")
	return p.cmd.ProcessState.ExitCode()
}

func (p *process) logText() []byte {
	text, _ := os.ReadFile(p.logFile)
	return text
}

// hasLogLine reports whether a line of the log contains all the parts.
func (p *process) hasLogLine(parts ...string) bool {
	for line := range strings.Lines(string(p.logText())) {
		found := true
		for _, part := range parts {
			found = found && strings.Contains(line, part)
		}
		if found {
			return true
		}
	}
	return false
}
