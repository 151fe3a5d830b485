// Package logger writes log lines without ever blocking the caller, within a budget of lines a second.
package logger
