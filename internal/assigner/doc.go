// Package assigner caches which member owns each shard of a duty until the view of the members changes.
package assigner
