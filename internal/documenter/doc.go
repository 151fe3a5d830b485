// Package documenter reads service documents: strict parsing with path and line for every error, defaults and differences.
package documenter
