// Package status implements the command 'service status'.
package status
