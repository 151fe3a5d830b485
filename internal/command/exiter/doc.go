// Package exiter maps the errors of commands to exit codes and messages.
package exiter
