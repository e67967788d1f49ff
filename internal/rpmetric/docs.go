package rpmetric

import (
	"fmt"
	"strconv"
	"strings"
)

// Docs returns the text of docs/metrics.md, generated from the table.
func Docs() string {
	var b strings.Builder
	b.WriteString(docsHead)
	for _, row := range table {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", row.name, row.kind, row.unit, labelNames(row.labels), row.help)
	}
	b.WriteString("\n## Labels\n\nA value that is not in this list is counted as `" + otherValue + "`.\n\n")
	b.WriteString("| metric | label | values |\n| --- | --- | --- |\n")
	for _, row := range table {
		for _, label := range row.labels {
			fmt.Fprintf(&b, "| `%s` | `%s` | %s |\n", row.name, label.name, strings.Join(label.values, ", "))
		}
	}
	b.WriteString("\n## Histograms\n\nUpper bounds of the buckets, in the unit of the metric.\n\n| metric | bounds |\n| --- | --- |\n")
	for _, row := range table {
		if row.kind == kindHistogram {
			fmt.Fprintf(&b, "| `%s` | %s |\n", row.name, formatBounds(row.buckets))
		}
	}
	return b.String()
}

const docsHead = `# Metrics

This page is generated: ` + "`rattanpaddle docs metrics > docs/metrics.md`" + `.

An instance serves its metrics at ` + "`/metrics`" + ` on the operators' address, in the Prometheus text format. It also
serves the metrics of the Go runtime and of the process. Counters start at 0 when the instance starts.

| name | kind | unit | labels | meaning |
| --- | --- | --- | --- | --- |
`

func labelNames(labels []label) string {
	if len(labels) == 0 {
		return "-"
	}
	list := make([]string, len(labels))
	for i := range labels {
		list[i] = "`" + labels[i].name + "`"
	}
	return strings.Join(list, ", ")
}

func formatBounds(buckets []float64) string {
	list := make([]string, len(buckets))
	for i, bound := range buckets {
		list[i] = strconv.FormatFloat(bound, 'f', -1, 64)
	}
	return strings.Join(list, ", ")
}
