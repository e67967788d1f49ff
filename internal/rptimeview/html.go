package rptimeview

import (
	_ "embed" // page.html
	"html/template"
	"io"

	"github.com/rattanpaddle/rattanpaddle/internal/rptimeline"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Parse(pageText))

// pageData is the data that the script in page.html renders.
type pageData struct {
	Instances []pageInstance `json:"instances"`
	Rows      []pageRow      `json:"rows"`
}

type pageInstance struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failure_domain"`
}

type pageRow struct {
	Time string `json:"time"`
	// Lane is the column, which is the index of the instance. Rows that concern
	// all instances have -1.
	Lane int    `json:"lane"`
	Part string `json:"part"`
	Text string `json:"text"`
	Gap  bool   `json:"gap,omitempty"`
}

func (v *View) writeHTML(w io.Writer) error {
	data := pageData{Instances: []pageInstance{}, Rows: []pageRow{}}
	lanes := map[string]int{}
	for i, head := range v.Heads {
		lanes[head.Instance] = i
		data.Instances = append(data.Instances, pageInstance{head.Instance, head.FailureDomain})
	}
	v.eachLine(func(remark *Remark, entry *rptimeline.Entry) {
		if entry != nil {
			data.Rows = append(data.Rows, pageRow{Time: formatClock(entry.Clock), Lane: lanes[entry.Instance], Part: entry.Part.String(), Text: Sentence(entry)})
			return
		}
		row := pageRow{Lane: -1, Part: "missing", Text: remark.Text + " (" + remark.Code + ")", Gap: true}
		if remark.Clock > 0 {
			row.Time, row.Lane = formatClock(remark.Clock), lanes[remark.Instance]
		}
		data.Rows = append(data.Rows, row)
	})
	return page.Execute(w, data)
}
