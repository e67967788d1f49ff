package rpcommand

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// report prints a value as JSON, or the text.
func (p *Program) report(output string, value any, text string) error {
	if output != "json" {
		return p.print(text)
	}
	encoder := json.NewEncoder(p.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// flatten returns a JSON value as lines of "key: value", ordered by key.
func flatten(raw json.RawMessage) (string, error) {
	var value any
	decoder := json.NewDecoder(strings.NewReader(string(raw)))
	decoder.UseNumber()
	if err := decoder.Decode(&value); err != nil {
		return "", err
	}
	var lines []string
	addLines(&lines, "", value)
	if len(lines) == 0 {
		return "The instance reports nothing.\n", nil
	}
	return strings.Join(lines, "\n") + "\n", nil
}

func addLines(lines *[]string, key string, value any) {
	switch value := value.(type) {
	case map[string]any:
		names := make([]string, 0, len(value))
		for name := range value {
			names = append(names, name)
		}
		slices.Sort(names)
		for _, name := range names {
			addLines(lines, strings.TrimPrefix(key+"."+name, "."), value[name])
		}
	case []any:
		for i := range value {
			addLines(lines, fmt.Sprintf("%s[%d]", key, i), value[i])
		}
	default:
		*lines = append(*lines, fmt.Sprintf("%s: %v", key, value))
	}
}
