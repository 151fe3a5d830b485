// Package refresher tracks how current a copy of the store's objects is, and says when it must be read from the store itself.
package refresher
