package bench

import (
	"slices"
	"strconv"
	"strings"

	"github.com/rattantray/rattantray/internal/bencher"
	"github.com/rattantray/rattantray/internal/command/exiter"
)

var kindKeys = []string{"name", "workspace", "service", "method", "data", "max-tokens", "weight", "once"}

func parseKinds(texts []string) ([]bencher.Kind, error) {
	kinds := make([]bencher.Kind, 0, len(texts))
	for _, text := range texts {
		kind, err := parseKind(text)
		if err != nil {
			return nil, err
		}
		kinds = append(kinds, kind)
	}
	return kinds, nil
}

func parseKind(text string) (bencher.Kind, error) {
	kind := bencher.Kind{Weight: 1}
	for _, pair := range strings.Split(text, ",") {
		key, value, ok := strings.Cut(pair, "=")
		if !ok || !slices.Contains(kindKeys, key) {
			return kind, exiter.Flagf("--kind %q: want key=value with a key of %s", pair, strings.Join(kindKeys, ", "))
		}
		if err := setKindField(&kind, key, value); err != nil {
			return kind, exiter.Flagf("--kind %s: %s", pair, err)
		}
	}
	if kind.Workspace == "" || kind.Service == "" {
		return kind, exiter.Flagf("--kind %q: workspace and service are needed", text)
	}
	if kind.Weight <= 0 {
		return kind, exiter.Flagf("--kind %q: weight must be above 0", text)
	}
	if kind.Name == "" {
		kind.Name = kind.Service
	}
	return kind, nil
}

func setKindField(kind *bencher.Kind, key, value string) error {
	var err error
	switch key {
	case "name":
		kind.Name = value
	case "workspace":
		kind.Workspace = value
	case "service":
		kind.Service = value
	case "method":
		kind.Method = value
	case "data":
		kind.Payload = []byte(value)
	case "max-tokens":
		var n uint64
		n, err = strconv.ParseUint(value, 10, 32)
		kind.MaxTokens = uint32(n)
	case "weight":
		kind.Weight, err = strconv.ParseFloat(value, 64)
	case "once":
		kind.AtMostOnce, err = strconv.ParseBool(value)
	}
	return err
}
