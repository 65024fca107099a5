//go:build race

package sync

// domainDaemons is smaller than without the race detector, under which 842 daemons take over 80 s.
const domainDaemons = 200
