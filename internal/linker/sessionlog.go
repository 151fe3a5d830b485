package linker

import (
	"fmt"
	"strings"

	"github.com/rs/zerolog"
)

// sessionLog writes the log lines of yamux to the structured log.
type sessionLog struct{ log zerolog.Logger }

// Print implements yamux.Logger.
func (l sessionLog) Print(v ...any) { l.write(fmt.Sprint(v...)) }

// Printf implements yamux.Logger.
func (l sessionLog) Printf(format string, v ...any) { l.write(fmt.Sprintf(format, v...)) }

// Println implements yamux.Logger.
func (l sessionLog) Println(v ...any) { l.write(fmt.Sprintln(v...)) }

func (l sessionLog) write(line string) {
	l.log.Debug().Str("component", "yamux").Msg(strings.TrimSpace(line))
}
