//go:build !race

package sync

// domainDaemons is the size of a failure domain at the design size: 16,000 daemons in 19 domains.
const domainDaemons = 842
