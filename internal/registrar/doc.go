// Package registrar is the micro-kernel: it starts services in dependency order, finds them by name and stops them in reverse.
package registrar
