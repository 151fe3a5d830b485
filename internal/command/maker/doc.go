// Package maker builds what commands depend on, when they first need it.
package maker
