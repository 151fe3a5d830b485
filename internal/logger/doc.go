// Package logger writes log lines without ever making the program wait, within a budget of lines a second.
package logger
