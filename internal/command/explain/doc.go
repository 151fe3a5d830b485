// Package explain is the command explain.
package explain
