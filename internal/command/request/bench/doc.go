// Package bench is the command 'request bench'.
package bench
