// Package start is the command gateway start.
package start
