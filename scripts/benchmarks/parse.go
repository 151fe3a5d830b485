package main

import (
	"strconv"
	"strings"
)

// result is one line of `go test -bench`.
type result struct {
	Name       string             `json:"name"`
	Iterations int64              `json:"iterations"`
	Metrics    map[string]float64 `json:"metrics"`
}

// parse returns the results in the output of `go test -bench`.
func parse(text string) []result {
	var list []result
	for line := range strings.Lines(text) {
		fields := strings.Fields(line)
		// A line has a name, the iterations, and pairs of a figure and its unit.
		if len(fields) < 4 || !strings.HasPrefix(fields[0], "Benchmark") {
			continue
		}
		n, err := strconv.ParseInt(fields[1], 10, 64)
		if err != nil {
			continue
		}
		r := result{Name: fields[0], Iterations: n, Metrics: map[string]float64{}}
		for i := 2; i+1 < len(fields); i += 2 {
			if v, err := strconv.ParseFloat(fields[i], 64); err == nil {
				r.Metrics[fields[i+1]] = v
			}
		}
		list = append(list, r)
	}
	return list
}
