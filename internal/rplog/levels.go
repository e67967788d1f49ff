package rplog

import (
	"fmt"
	"slices"
	"strings"

	"github.com/rs/zerolog"
)

// DefaultLevel is the level of parts for which no level is set.
const DefaultLevel = zerolog.InfoLevel

// levelNames lists the levels that an operator can choose, the most verbose
// first.
var levelNames = []string{"debug", "info", "warn", "error", "off"}

// Levels contains the level of each part. In the zero value, all parts have
// DefaultLevel.
type Levels struct {
	// base is the level of parts that are not in the map parts. It is used only
	// if set is true, because its zero value is the debug level.
	base  zerolog.Level
	set   bool
	parts map[string]zerolog.Level
}

// Of returns the level of a part.
func (l Levels) Of(part string) zerolog.Level {
	if level, ok := l.parts[part]; ok {
		return level
	}
	if l.set {
		return l.base
	}
	return DefaultLevel
}

// ParseLevels parses a flag such as "warn,requests=debug,replicas=info". An
// entry without a part sets the level of all parts that have no entry.
func ParseLevels(flag string) (Levels, error) {
	var levels Levels
	for entry := range strings.SplitSeq(flag, ",") {
		if entry = strings.TrimSpace(entry); entry == "" {
			continue
		}
		if err := levels.addEntry(entry); err != nil {
			return Levels{}, err
		}
	}
	return levels, nil
}

// Override returns the levels of l, replaced by those that are set in other.
func (l Levels) Override(other Levels) Levels {
	merged := Levels{base: l.base, set: l.set, parts: map[string]zerolog.Level{}}
	if other.set {
		merged.base, merged.set = other.base, true
	}
	for _, parts := range []map[string]zerolog.Level{l.parts, other.parts} {
		for part, level := range parts {
			merged.parts[part] = level
		}
	}
	return merged
}

func (l *Levels) addEntry(entry string) error {
	part, name, ok := strings.Cut(entry, "=")
	if !ok {
		part, name = "", entry
	}
	level, err := parseLevel(name)
	if err != nil {
		return err
	}
	if !ok {
		l.base, l.set = level, true
		return nil
	}
	return l.setPart(part, level)
}

func (l *Levels) setPart(part string, level zerolog.Level) error {
	if !isPart(part) {
		return UnknownPartError{Name: part}
	}
	if l.parts == nil {
		l.parts = map[string]zerolog.Level{}
	}
	l.parts[part] = level
	return nil
}

func parseLevel(name string) (zerolog.Level, error) {
	if !slices.Contains(levelNames, name) {
		return zerolog.NoLevel, UnknownLevelError{Name: name}
	}
	if name == "off" {
		return zerolog.Disabled, nil
	}
	return zerolog.ParseLevel(name)
}

// UnknownPartError reports a name that is not in Parts.
type UnknownPartError struct {
	Name string
}

func (e UnknownPartError) Error() string { return e.Wrong() + " " + e.Fix() }

// Wrong returns a sentence about what is wrong, for rptoml.TextError.
func (e UnknownPartError) Wrong() string { return fmt.Sprintf("%q is not a part of the log.", e.Name) }

// Fix returns a sentence about what to write instead, for rptoml.TextError.
func (e UnknownPartError) Fix() string {
	return fmt.Sprintf("Write one of: %s.", strings.Join(partNames(), ", "))
}

// UnknownLevelError reports a name that is not the name of a level.
type UnknownLevelError struct {
	Name string
}

func (e UnknownLevelError) Error() string { return e.Wrong() + " " + e.Fix() }

// Wrong returns a sentence about what is wrong, for rptoml.TextError.
func (e UnknownLevelError) Wrong() string { return fmt.Sprintf("%q is not a level.", e.Name) }

// Fix returns a sentence about what to write instead, for rptoml.TextError.
func (e UnknownLevelError) Fix() string {
	return fmt.Sprintf("Write one of: %s.", strings.Join(levelNames, ", "))
}
