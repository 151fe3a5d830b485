// Package documenter parses service documents, reporting path and line of every error, fills in defaults and compares them.
package documenter
