// Package bench implements the command 'request bench'.
package bench
