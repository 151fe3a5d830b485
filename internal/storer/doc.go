// Package storer is the seam to the platform's object API and VM list.
package storer
