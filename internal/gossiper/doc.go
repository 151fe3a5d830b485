// Package gossiper spreads updates among daemons, so that what each sends and receives does not grow with the fleet.
package gossiper
