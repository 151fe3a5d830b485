// Package registrar starts the services of a daemon in dependency order, finds them by name and stops them in reverse order.
package registrar
