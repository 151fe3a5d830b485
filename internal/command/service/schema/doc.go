// Package schema is the command 'service schema'.
package schema
