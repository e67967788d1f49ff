package rpsystem

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

var (
	// program is the path of the executable that TestMain builds.
	program string
	logsDir = flag.String("logs", "", "directory in which the logs of all processes are kept")
)

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "rpsystem")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	program = filepath.Join(dir, "rattanpaddle")
	args := []string{"build", "-o", program}
	if raceEnabled {
		args = append(args, "-race")
	}
	build := exec.Command("go", append(args, "github.com/rattanpaddle/rattanpaddle/cmd/rattanpaddle")...)
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "building the program:", err)
		return 1
	}
	return m.Run()
}
