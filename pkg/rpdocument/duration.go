package rpdocument

import (
	"fmt"
	"time"

	"github.com/rattanpaddle/rattanpaddle/internal/rptoml"
)

// Duration is a time.Duration. In TOML it is a string such as "250ms".
type Duration time.Duration

// UnmarshalText parses a duration with time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return InvalidDurationError{Text: string(text)}
	}
	*d = Duration(v)
	return nil
}

// MarshalText formats the duration as String does.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// String formats the duration without trailing units that are zero: "10m"
// instead of "10m0s".
func (d Duration) String() string {
	text := time.Duration(d).String()
	for _, zero := range []struct{ long, short string }{{"m0s", "m"}, {"h0m", "h"}} {
		if n := len(text) - len(zero.long); n > 0 && text[n:] == zero.long {
			text = text[:n] + zero.short
		}
	}
	return text
}

// InvalidDurationError reports a text that is not a duration.
type InvalidDurationError struct {
	Text string
}

func (e InvalidDurationError) Error() string { return e.Wrong() + " " + e.Fix() }

// Wrong implements rptoml.TextError.
func (e InvalidDurationError) Wrong() string {
	return fmt.Sprintf("%q is not a duration.", rptoml.Shorten(e.Text))
}

// Fix implements rptoml.TextError.
func (e InvalidDurationError) Fix() string {
	return `Write a number with a unit, such as "250ms", "10s" or "5m".`
}
