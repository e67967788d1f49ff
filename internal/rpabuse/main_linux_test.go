package rpabuse

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// program is the path of the executable that TestMain builds. It has no race
// detector, which takes several times the memory.
var program string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "rpabuse")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	program = filepath.Join(dir, "rattanpaddle")
	build := exec.Command("go", "build", "-o", program, "github.com/rattanpaddle/rattanpaddle/cmd/rattanpaddle")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "building the program:", err)
		return 1
	}
	return m.Run()
}
