// Package storer defines the interface to the platform's object API and VM list, with clients that limit and settle calls.
package storer
