// Package gossiper spreads updates among daemons, with a bounded number of messages per daemon however large the fleet is.
package gossiper
