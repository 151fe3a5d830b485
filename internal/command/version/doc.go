// Package version implements the command 'version'.
package version
