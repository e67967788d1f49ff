package rpdocument

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/rattanpaddle/rattanpaddle/internal/rptoml"
)

// Bytes is an amount of memory in bytes. In TOML it is a string such as
// "12GiB".
type Bytes uint64

// Units of Bytes.
const (
	KiB Bytes = 1 << 10
	MiB Bytes = 1 << 20
	GiB Bytes = 1 << 30
)

var byteUnits = []struct {
	suffix string
	size   Bytes
}{{"GiB", GiB}, {"MiB", MiB}, {"KiB", KiB}, {"B", 1}}

// UnmarshalText parses a whole number followed by B, KiB, MiB or GiB.
func (b *Bytes) UnmarshalText(text []byte) error {
	s := string(text)
	for _, unit := range byteUnits {
		digits, ok := strings.CutSuffix(s, unit.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseUint(digits, 10, 64)
		if err != nil || n > math.MaxInt64/uint64(unit.size) {
			return InvalidBytesError{Text: s}
		}
		*b = Bytes(n) * unit.size
		return nil
	}
	return InvalidBytesError{Text: s}
}

// MarshalText formats the amount in the largest unit that divides it evenly.
func (b Bytes) MarshalText() ([]byte, error) {
	return []byte(b.String()), nil
}

func (b Bytes) String() string {
	for _, unit := range byteUnits {
		if b >= unit.size && b%unit.size == 0 {
			return fmt.Sprintf("%d%s", b/unit.size, unit.suffix)
		}
	}
	return fmt.Sprintf("%dB", uint64(b))
}

// InvalidBytesError reports a text that is not an amount of memory.
type InvalidBytesError struct {
	Text string
}

func (e InvalidBytesError) Error() string { return e.Wrong() + " " + e.Fix() }

// Wrong implements rptoml.TextError.
func (e InvalidBytesError) Wrong() string {
	return fmt.Sprintf("%q is not an amount of memory.", rptoml.Shorten(e.Text))
}

// Fix implements rptoml.TextError.
func (e InvalidBytesError) Fix() string {
	return `Write a whole number with a unit, such as "12GiB".`
}
