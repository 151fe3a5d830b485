// Package status is the command 'service status'.
package status
