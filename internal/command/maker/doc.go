// Package maker builds the dependencies of commands on first use.
package maker
