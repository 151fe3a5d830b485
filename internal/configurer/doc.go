// Package configurer distributes service documents, so that the newest accepted version is in force on every daemon.
package configurer
