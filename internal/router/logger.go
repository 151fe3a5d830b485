package router

import (
	"io"
	"time"

	"github.com/rs/zerolog"
)

// NewLog returns a log in the format and from the level of the settings.
func NewLog(w io.Writer, s Settings) (zerolog.Logger, error) {
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		return zerolog.Nop(), err
	}
	if s.LogFormat == "text" {
		w = zerolog.ConsoleWriter{Out: w, TimeFormat: time.TimeOnly}
	}
	return zerolog.New(w).Level(level).With().Timestamp().Logger(), nil
}
