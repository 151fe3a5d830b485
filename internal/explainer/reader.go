package explainer

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"time"
)

// maxLineBytes bounds a log line.
const maxLineBytes = 1 << 20

// Line is one parsed log line.
type Line struct {
	Node    string
	Time    time.Time
	Level   string
	Message string
	// Fields holds all other fields.
	Fields map[string]any
}

// text returns a text field, and number a numeric one; they return zero values if there is none.
func (l Line) text(name string) string {
	s, _ := l.Fields[name].(string)
	return s
}

func (l Line) number(name string) float64 {
	n, _ := l.Fields[name].(float64)
	return n
}

// Read returns the lines of logs, sorted by time. It ignores any text before the JSON of a line and skips lines without valid JSON or
// without a message; skipped counts these. It returns an error if a log can't be read.
func Read(logs ...io.Reader) (lines []Line, skipped int, err error) {
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
		for scanner.Scan() {
			line, ok := parseLine(scanner.Bytes())
			if !ok {
				skipped++
				continue
			}
			lines = append(lines, line)
		}
		if err := scanner.Err(); err != nil {
			return nil, skipped, err
		}
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) })
	return lines, skipped, nil
}

func parseLine(data []byte) (Line, bool) {
	start := bytes.IndexByte(data, '{')
	if start < 0 {
		return Line{}, false
	}
	l := Line{}
	if json.Unmarshal(data[start:], &l.Fields) != nil {
		return Line{}, false
	}
	l.Node, l.Level, l.Message = l.text("node"), l.text("level"), l.text("message")
	l.Time = time.UnixMilli(int64(l.number("time"))).UTC()
	for _, name := range []string{"node", "level", "message", "time"} {
		delete(l.Fields, name)
	}
	return l, l.Message != ""
}
