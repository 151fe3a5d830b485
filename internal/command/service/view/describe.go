package view

import (
	"fmt"
	"time"

	v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"
)

func describe(s *v1.ServiceVersion) string {
	text := fmt.Sprintf("%s version %d", s.Name, s.Version)
	if s.Author != "" {
		text += " by " + s.Author
	}
	if s.Time != nil {
		text += " at " + s.Time.AsTime().Format(time.RFC3339)
	}
	if s.Deleted {
		text += " (deleted)"
	}
	return text
}
