//go:build race

package sync

// domainDaemons is reduced under the race detector, with which 842 daemons take over 80 s.
const domainDaemons = 200
