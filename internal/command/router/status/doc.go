// Package status implements the command 'router status'.
package status
