package answers

// nearest returns the word with the smallest edit distance to found, the first one of equals. It
// returns "" if more than half of the letters differ, since such a proposal would only mislead.
func nearest(found string, words []string) string {
	return nearestWithin(found, words, len(found)/2)
}

// nearestWithin is nearest with a given limit of the edit distance.
func nearestWithin(found string, words []string, limit int) string {
	best, bestDistance := "", limit+1
	for _, word := range words {
		if d := editDistance(found, word); d < bestDistance && word != found {
			best, bestDistance = word, d
		}
	}
	return best
}

// editDistance returns the number of inserted, removed, replaced or swapped neighbouring bytes that
// turn a into b.
func editDistance(a, b string) int {
	before, previous, current := make([]int, len(b)+1), make([]int, len(b)+1), make([]int, len(b)+1)
	for j := range previous {
		previous[j] = j
	}
	for i := 1; i <= len(a); i++ {
		current[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			current[j] = min(previous[j]+1, current[j-1]+1, previous[j-1]+cost)
			if i > 1 && j > 1 && a[i-1] == b[j-2] && a[i-2] == b[j-1] {
				current[j] = min(current[j], before[j-2]+1)
			}
		}
		before, previous, current = previous, current, before
	}
	return previous[len(b)]
}
