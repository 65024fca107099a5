package answers

// nearest returns the candidate with the smallest edit distance to input, or the first of several
// with the same distance. It returns "" if the distance exceeds half the length of input, because a
// suggestion that differs that much would mislead.
func nearest(input string, candidates []string) string {
	return nearestWithin(input, candidates, len(input)/2)
}

// nearestWithin is like nearest, but accepts edit distances up to limit.
func nearestWithin(input string, candidates []string, limit int) string {
	best, bestDistance := "", limit+1
	for _, candidate := range candidates {
		if d := editDistance(input, candidate); d < bestDistance && candidate != input {
			best, bestDistance = candidate, d
		}
	}
	return best
}

// editDistance returns the Damerau-Levenshtein distance (optimal string alignment) of a and b in
// bytes: the number of insertions, deletions, substitutions and swaps of adjacent bytes that turn a
// into b.
func editDistance(a, b string) int {
	beforePrevious, previous, current := make([]int, len(b)+1), make([]int, len(b)+1), make([]int, len(b)+1)
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
				current[j] = min(current[j], beforePrevious[j-2]+1)
			}
		}
		beforePrevious, previous, current = previous, current, beforePrevious
	}
	return previous[len(b)]
}
