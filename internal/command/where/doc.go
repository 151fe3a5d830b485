// Package where implements the command 'where'.
package where
