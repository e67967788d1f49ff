package rpgateway

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/rattanpaddle/rattanpaddle/internal/rpcaller"
	"github.com/rattanpaddle/rattanpaddle/internal/rptoml"
)

// Limits is what the process may use of its machine. Without it, the process takes
// the defaults of rpcaller.Limits.
type Limits struct {
	// Memory is the resident memory.
	Memory Memory `toml:"memory"`
	// Descriptors is the number of open descriptors, 200 of which are for files.
	Descriptors int `toml:"descriptors"`
}

// Bounds of the limits. Below the least values, an idle process does not fit.
const (
	minMemory      Memory = 32e6
	maxMemory      Memory = 1 << 40
	minDescriptors        = 264
	maxDescriptors        = 1 << 24
)

func (l *Limits) check(r *rptoml.Report) {
	rptoml.CheckRange(r, "limits.memory", l.Memory, minMemory, maxMemory)
	rptoml.CheckRange(r, "limits.descriptors", l.Descriptors, minDescriptors, maxDescriptors)
}

// Callers returns the limits in the form that is divided among callers.
func (l *Limits) Callers() rpcaller.Limits {
	return rpcaller.Limits{Memory: int64(l.Memory), Descriptors: l.Descriptors}
}

// Memory is an amount of memory in bytes. In the settings it is a number with the
// unit MB, as the platform states it.
type Memory int64

const megabyte = 1e6

// UnmarshalText parses a number followed by MB.
func (m *Memory) UnmarshalText(text []byte) error {
	digits, ok := strings.CutSuffix(string(text), "MB")
	n, err := strconv.ParseFloat(strings.TrimSpace(digits), 64)
	if !ok || err != nil || !(n > 0) || n > float64(math.MaxInt64)/(2*megabyte) {
		return memoryError{text: string(text)}
	}
	*m = Memory(n * megabyte)
	return nil
}

func (m Memory) String() string {
	return strconv.FormatFloat(float64(m)/megabyte, 'f', -1, 64) + "MB"
}

// memoryError reports a text that is no amount of memory.
type memoryError struct{ text string }

func (e memoryError) Error() string { return e.Wrong() + " " + e.Fix() }

// Wrong implements rptoml.TextError.
func (e memoryError) Wrong() string {
	return fmt.Sprintf("%q is not an amount of memory.", rptoml.Shorten(e.text))
}

// Fix implements rptoml.TextError.
func (memoryError) Fix() string { return `Write a number of megabytes such as "144MB".` }
