package rpsettings

import (
	"fmt"
	"net/netip"
	"net/url"

	"github.com/rattanpaddle/rattanpaddle/internal/rplog"
	"github.com/rattanpaddle/rattanpaddle/internal/rptoml"
)

// valueError reports a text that is not allowed as a value. It implements
// rptoml.TextError.
type valueError struct {
	wrong string
	fix   string
}

func (e valueError) Error() string { return e.wrong + " " + e.fix }
func (e valueError) Wrong() string { return e.wrong }
func (e valueError) Fix() string   { return e.fix }

const addressFix = `Write an IP address and a port, such as "10.0.0.5:8080" or "[::]:8080".`

// Address is an IP address with a port.
type Address struct {
	netip.AddrPort
}

// UnmarshalText parses an address. It refuses host names and port 0, because
// other instances need the exact address.
func (a *Address) UnmarshalText(text []byte) error {
	address, err := netip.ParseAddrPort(string(text))
	if err != nil {
		return valueError{fmt.Sprintf("%q is not an IP address with a port.", rptoml.Shorten(string(text))), addressFix}
	}
	if address.Port() == 0 {
		return valueError{"The port is 0.", "Write a port from 1 to 65535."}
	}
	a.AddrPort = address
	return nil
}

// URL is the address of a service of the platform.
type URL struct {
	url.URL
}

// UnmarshalText parses an http or https URL without user, query and fragment.
func (u *URL) UnmarshalText(text []byte) error {
	parsed, err := url.Parse(string(text))
	if err == nil && (parsed.Scheme == "http" || parsed.Scheme == "https") && parsed.Host != "" &&
		parsed.User == nil && parsed.RawQuery == "" && parsed.Fragment == "" {
		u.URL = *parsed
		return nil
	}
	return valueError{"The value is not the URL of a service.", `Write a URL such as "http://10.0.0.9:8000".`}
}

// Secret is a text that is kept out of logs and encodings. Only Reveal returns
// it.
type Secret struct {
	text string
}

const redactedSecret = "(secret)"

// NewSecret returns a secret with the given text.
func NewSecret(text string) Secret { return Secret{text: text} }

// Reveal returns the text.
func (s Secret) Reveal() string { return s.text }

// UnmarshalText sets the text.
func (s *Secret) UnmarshalText(text []byte) error {
	s.text = string(text)
	return nil
}

// MarshalText keeps the text out of encodings.
func (s Secret) MarshalText() ([]byte, error) { return []byte(redactedSecret), nil }

// Format keeps the text out of every verb of fmt.
func (s Secret) Format(f fmt.State, _ rune) { _, _ = f.Write([]byte(redactedSecret)) }

// LogFormat is the format of the log.
type LogFormat rplog.Format

// UnmarshalText parses a format.
func (f *LogFormat) UnmarshalText(text []byte) error {
	format := rplog.Format(text)
	if format != rplog.FormatJSON && format != rplog.FormatConsole {
		return valueError{fmt.Sprintf("%q is not a format of the log.", rptoml.Shorten(string(text))), `Write "json" or "console".`}
	}
	*f = LogFormat(format)
	return nil
}

// LogLevels are the levels of the log.
type LogLevels struct {
	rplog.Levels
}

// UnmarshalText parses levels in the syntax of the flag --log.
func (l *LogLevels) UnmarshalText(text []byte) error {
	levels, err := rplog.ParseLevels(string(text))
	if err != nil {
		return err
	}
	l.Levels = levels
	return nil
}
