// Package version is the command 'version'.
package version
