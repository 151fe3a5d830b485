// Package follower keeps a copy of the store's objects under a prefix, through outages of the store.
package follower
