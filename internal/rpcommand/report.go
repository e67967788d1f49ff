package rpcommand

import "encoding/json"

// report prints value as indented JSON if the output format is json, else text.
func (p *Program) report(output string, value any, text string) error {
	if output != "json" {
		return p.print(text)
	}
	encoder := json.NewEncoder(p.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
