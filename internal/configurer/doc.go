// Package configurer keeps the newest accepted service documents in force on every daemon.
package configurer
