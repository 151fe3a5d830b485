// Package status implements the command 'model status'.
package status
