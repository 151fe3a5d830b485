package router

import (
	"io"
	"time"

	"github.com/rs/zerolog"
)

// NewLog returns a logger that writes to w with the level and format of the settings.
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
