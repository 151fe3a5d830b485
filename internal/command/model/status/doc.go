// Package status is the command 'model status'.
package status
