package rpcommand

import "encoding/json"

// report prints a value as JSON, or the text.
func (p *Program) report(output string, value any, text string) error {
	if output != "json" {
		return p.print(text)
	}
	encoder := json.NewEncoder(p.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
