// Package status is the command 'router status'.
package status
