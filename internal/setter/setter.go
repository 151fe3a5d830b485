package setter

import (
	"fmt"
	"net"
	"os"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/spf13/pflag"
)

// Prefix starts the name of every environment variable of the program.
const Prefix = "RATTANTRAY_"

// Environ returns the environment; tests replace it.
var Environ = os.Environ

// BadSetting is the error for a setting whose value is not accepted.
type BadSetting struct {
	// Name is the name of the flag.
	Name     string
	Value    string
	Accepted string
	// Source is the flag or the environment variable that gave the value.
	Source string
}

// Error implements error.
func (b *BadSetting) Error() string {
	source := b.Source
	if source == "" {
		source = "--" + b.Name
	}
	return fmt.Sprintf("setting %s: %q is not accepted: want %s", source, b.Value, b.Accepted)
}

// VariableName returns the name of the environment variable of a flag.
func VariableName(flag string) string {
	return Prefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// BindEnvironment sets each flag that is not on the command line from its environment variable. It returns a BadSetting for a
// value that is not accepted.
func BindEnvironment(flags *pflag.FlagSet) error {
	values := environmentVariables()
	var firstErr error
	flags.VisitAll(func(f *pflag.Flag) {
		value, ok := values[VariableName(f.Name)]
		if !ok || f.Changed || firstErr != nil {
			return
		}
		if err := flags.Set(f.Name, value); err != nil {
			firstErr = &BadSetting{Name: f.Name, Value: value, Accepted: acceptedValues(f), Source: VariableName(f.Name)}
		}
	})
	return firstErr
}

// UnknownVariables returns the environment variables with Prefix that no flag of the sets reads, sorted.
func UnknownVariables(sets ...*pflag.FlagSet) []string {
	read := map[string]bool{}
	for _, set := range sets {
		set.VisitAll(func(f *pflag.Flag) { read[VariableName(f.Name)] = true })
	}
	var unknown []string
	for name := range environmentVariables() {
		if !read[name] {
			unknown = append(unknown, name)
		}
	}
	slices.Sort(unknown)
	return unknown
}

// LogSettings logs the effective value of every flag in one line, with the values of secretFlags masked.
func LogSettings(log zerolog.Logger, flags *pflag.FlagSet, secretFlags ...string) {
	event := log.Info()
	flags.VisitAll(func(f *pflag.Flag) {
		value := f.Value.String()
		if slices.Contains(secretFlags, f.Name) && value != "" {
			value = "(set)"
		}
		event.Str(f.Name, value)
	})
	event.Msg("effective settings")
}

// CheckAddress checks that a setting is an IP address and a port.
func CheckAddress(name, value string) error {
	host, port, err := net.SplitHostPort(value)
	if err != nil || port == "" || net.ParseIP(host) == nil {
		return &BadSetting{Name: name, Value: value, Accepted: "an IP address and a port, as 127.0.0.1:7070"}
	}
	return nil
}

// CheckNotEmpty checks that a setting has a value.
func CheckNotEmpty(name, value string) error {
	if value == "" {
		return &BadSetting{Name: name, Value: value, Accepted: "a value that is not empty"}
	}
	return nil
}

// CheckOneOf checks that a setting has one of the values.
func CheckOneOf(name, value string, values ...string) error {
	if slices.Contains(values, value) {
		return nil
	}
	return &BadSetting{Name: name, Value: value, Accepted: "one of " + strings.Join(values, ", ")}
}

// CheckPositive checks that a number is above zero.
func CheckPositive[T ~int | ~int64 | ~float64](name string, value T) error {
	if value > 0 {
		return nil
	}
	return &BadSetting{Name: name, Value: fmt.Sprint(value), Accepted: "a value above 0"}
}

// FirstError returns the first error that is not nil.
func FirstError(checks ...error) error {
	for _, err := range checks {
		if err != nil {
			return err
		}
	}
	return nil
}

// IsBadSetting reports whether err is or wraps a BadSetting.
func IsBadSetting(err error) bool {
	var bad *BadSetting
	return errors.As(err, &bad)
}

func environmentVariables() map[string]string {
	values := map[string]string{}
	for _, line := range Environ() {
		name, value, _ := strings.Cut(line, "=")
		if strings.HasPrefix(name, Prefix) {
			values[name] = value
		}
	}
	return values
}

func acceptedValues(f *pflag.Flag) string {
	switch f.Value.Type() {
	case "duration":
		return "a duration, as 1m30s"
	case "int", "uint32", "int64", "uint64":
		return "a whole number"
	case "float64":
		return "a number"
	case "bool":
		return "true or false"
	}
	return "a " + f.Value.Type()
}
