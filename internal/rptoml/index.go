package rptoml

import (
	"fmt"
	"sort"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

const (
	// maxIndexDepth is the maximum number of parts of an indexed key. Without
	// it, the index of a small file with thousands of nested lists would grow
	// with the square of the nesting depth.
	maxIndexDepth = 8
	// maxPartLength is the maximum length of one key part, in bytes. Longer
	// parts are shortened, because the name of a table is repeated for each of
	// its keys.
	maxPartLength = 64
)

// lineIndex builds a map from keys to lines.
type lineIndex struct {
	// newlines contains the offsets of all newlines, in ascending order.
	newlines []int
	lines    map[string]int
	// listLengths contains the number of entries indexed so far, for each list
	// of tables.
	listLengths map[string]int
}

// indexLines returns the line of each key of a body. The body must be valid
// TOML.
func indexLines(body []byte) map[string]int {
	ix := &lineIndex{lines: map[string]int{}, listLengths: map[string]int{}}
	for i, c := range body {
		if c == '\n' {
			ix.newlines = append(ix.newlines, i)
		}
	}
	var parser unstable.Parser
	parser.Reset(body)
	var table keyPath
	for parser.NextExpression() {
		node := parser.Expression()
		switch node.Kind {
		case unstable.Table:
			table = ix.indexTable(node)
		case unstable.ArrayTable:
			table = ix.indexListEntry(node)
		case unstable.KeyValue:
			ix.indexKeyValue(table, node)
		}
	}
	return ix.lines
}

// keyPath is a key with the number of its parts. The parts beyond maxIndexDepth
// are counted, but are not in the text.
type keyPath struct {
	text  string
	depth int
}

func (p keyPath) withPart(name string) keyPath {
	if p.depth >= maxIndexDepth {
		return keyPath{text: p.text, depth: p.depth + 1}
	}
	return keyPath{text: joinKey(p.text, name), depth: p.depth + 1}
}

// withIndex returns the path of the nth entry of a list.
func (p keyPath) withIndex(n int) keyPath {
	if p.depth >= maxIndexDepth {
		return keyPath{text: p.text, depth: p.depth + 1}
	}
	return keyPath{text: fmt.Sprintf("%s[%d]", p.text, n), depth: p.depth + 1}
}

// indexTable records the lines of a table header and returns the path of the
// table.
func (ix *lineIndex) indexTable(node *unstable.Node) keyPath {
	var path keyPath
	keys := node.Key()
	for keys.Next() {
		path = ix.lastListEntry(path).withPart(string(keys.Node().Data))
		ix.recordLine(path, keys.Node())
	}
	return path
}

// indexListEntry records the lines of a header such as [[models]] and returns
// the path of the entry.
func (ix *lineIndex) indexListEntry(node *unstable.Node) keyPath {
	path := ix.indexTable(node)
	n := ix.listLengths[path.text]
	ix.listLengths[path.text]++
	path = path.withIndex(n)
	ix.recordLine(path, node.Child())
	return path
}

// lastListEntry returns the path of the last entry if the path is a list of
// tables, and otherwise the path itself.
func (ix *lineIndex) lastListEntry(path keyPath) keyPath {
	if n := ix.listLengths[path.text]; n > 0 {
		return path.withIndex(n - 1)
	}
	return path
}

func (ix *lineIndex) indexKeyValue(path keyPath, node *unstable.Node) {
	keys := node.Key()
	for keys.Next() {
		path = path.withPart(string(keys.Node().Data))
		ix.recordLine(path, keys.Node())
	}
	ix.indexValue(path, node.Value())
}

func (ix *lineIndex) indexValue(path keyPath, node *unstable.Node) {
	if path.depth >= maxIndexDepth {
		return
	}
	children := node.Children()
	switch node.Kind {
	case unstable.Array:
		for n := 0; children.Next(); n++ {
			ix.recordLine(path.withIndex(n), children.Node())
			ix.indexValue(path.withIndex(n), children.Node())
		}
	case unstable.InlineTable:
		for children.Next() {
			ix.indexKeyValue(path, children.Node())
		}
	}
}

// recordLine records the line of a key, unless the key already has one. A node
// without a position, such as a list in a list, gets the line of its parent.
func (ix *lineIndex) recordLine(path keyPath, node *unstable.Node) {
	if _, ok := ix.lines[path.text]; ok || path.text == "" {
		return
	}
	if node.Raw.Length == 0 {
		ix.lines[path.text] = ix.lines[parentKey(path.text)]
		return
	}
	ix.lines[path.text] = sort.SearchInts(ix.newlines, int(node.Raw.Offset)) + 1
}

// joinKey appends a part to a key. It shortens a long part, and quotes a part
// that is not a bare key.
func joinKey(key, part string) string {
	if !isBareKey(part) {
		part = strconv.Quote(Shorten(part))
	} else {
		part = Shorten(part)
	}
	if key == "" {
		return part
	}
	return key + "." + part
}

func isBareKey(part string) bool {
	return part != "" && strings.Trim(part, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_-") == ""
}

// Shorten shortens a text of the file so that it can be quoted in a message.
func Shorten(text string) string {
	if len(text) <= maxPartLength {
		return text
	}
	return strings.ToValidUTF8(text[:maxPartLength], "") + "..."
}
