package rollout

import (
	"fmt"
	"math"
	"time"
)

const (
	// buckets is the number of classes of work times. Each is twice as wide as the one before in two
	// steps, from workUnit to 16 s.
	buckets  = 32
	workUnit = 250 * time.Microsecond
	// minFailures is the number of bad responses below which a target version is not condemned.
	minFailures = 8
	// minSamples is the number of work times that a comparison of means needs of both versions.
	minSamples = 20
	// badRatio is the ratio of the mean work times above which the target is bad.
	badRatio = 1.8
	// meanErrors is the number of standard errors by which the means must differ. The counts are looked
	// at every half second for several kinds, so a smaller number would condemn good versions.
	meanErrors = 4
	// maxChance is the probability of a result by chance below which the target is bad.
	maxChance = 1e-5
	// slowQuantile and slowSteps define a slow response: in a class that is slowSteps above the one
	// within which this share of the responses of the old version lies.
	slowQuantile = 0.95
	slowSteps    = 2
	// slowExcess is the share by which slow responses must exceed those of the old version.
	slowExcess = 0.03
	// aloneExcess and aloneRatio are the excess of failures and the ratio of mean work times from which a
	// target is bad that is compared with earlier responses of the old version. Faults of dependencies and
	// peaks of the load that begin meanwhile stay below them in most cases.
	aloneExcess = 0.15
	aloneRatio  = 3.0
)

// Sample holds the responses of the servers of one version to one kind of request.
type Sample struct {
	// Responses counts all of them, Failed the failed or broken ones.
	Responses, Failed uint64
	// Timed counts the responses whose work time was measured; Work and Squares are the sums of their
	// work times in seconds and of the squares.
	Timed         uint64
	Work, Squares float64
	// Classes counts the work times by class.
	Classes [buckets]uint32
}

// Add adds a response. work is the time in a slot, zero if it was not measured.
func (s *Sample) Add(failed bool, work time.Duration) {
	s.Responses++
	if failed {
		s.Failed++
	}
	if work <= 0 {
		return
	}
	s.Timed++
	s.Work += work.Seconds()
	s.Squares += work.Seconds() * work.Seconds()
	class := int(math.Ceil(2 * math.Log2(float64(work)/float64(workUnit))))
	s.Classes[min(max(class, 0), buckets-1)]++
}

// merge adds other, multiplied by sign, which is 1 or -1.
func (s *Sample) merge(other *Sample, sign float64) {
	s.Responses += uint64(int64(sign) * int64(other.Responses))
	s.Failed += uint64(int64(sign) * int64(other.Failed))
	s.Timed += uint64(int64(sign) * int64(other.Timed))
	s.Work += sign * other.Work
	s.Squares += sign * other.Squares
	for i, n := range other.Classes {
		s.Classes[i] += uint32(int32(sign) * int32(n))
	}
}

// Totals holds a sample for each kind of request.
type Totals map[string]Sample

// Plus returns the sum of t and other.
func (t Totals) Plus(other Totals) Totals { return t.combine(other, 1) }

// Minus returns what has been added to t since it was earlier.
func (t Totals) Minus(earlier Totals) Totals { return t.combine(earlier, -1) }

func (t Totals) combine(other Totals, sign float64) Totals {
	sum := make(Totals, len(t))
	for kind, s := range t {
		sum[kind] = s
	}
	for kind, s := range other {
		combined := sum[kind]
		combined.merge(&s, sign)
		sum[kind] = combined
	}
	return sum
}

// Responses returns the number of all responses.
func (t Totals) Responses() uint64 {
	n := uint64(0)
	for _, s := range t {
		n += s.Responses
	}
	return n
}

func (t Totals) all() Sample {
	var sum Sample
	for _, s := range t {
		sum.merge(&s, 1)
	}
	return sum
}

// Judge returns why the target version is worse than the old one, or an empty text if it is not known
// to be. Failures are compared over all kinds, too: each kind alone may have too few.
func Judge(old, target Totals) string {
	all, allOld := target.all(), old.all()
	if reason := judgeFailures(&allOld, &all); reason != "" {
		return reason
	}
	for kind, s := range target {
		other := old[kind]
		reason := judgeFailures(&other, &s)
		if reason == "" {
			reason = judgeMean(&other, &s)
		}
		if reason == "" {
			reason = judgeSlow(&other, &s)
		}
		if reason != "" {
			return fmt.Sprintf("kind %s: %s", kind, reason)
		}
	}
	return ""
}

// JudgeAlone is Judge for a target whose responses are newer than those of the old version, so that the
// difference may have another cause than the version.
func JudgeAlone(old, target Totals) string {
	for kind, s := range target {
		other := old[kind]
		failed, oldFailed := s.failedShare(), other.failedShare()
		if failed >= oldFailed+aloneExcess {
			if reason := judgeFailures(&other, &s); reason != "" {
				return fmt.Sprintf("kind %s: %s earlier", kind, reason)
			}
		}
		if other.Timed < minSamples || s.Timed < minSamples {
			continue
		}
		mean, _ := s.mean()
		if oldMean, _ := other.mean(); mean >= aloneRatio*oldMean {
			return fmt.Sprintf("kind %s: mean work time %.1f ms, %.1f ms of the old version earlier", kind, mean*1000, oldMean*1000)
		}
	}
	return ""
}

func (s *Sample) failedShare() float64 { return float64(s.Failed) / float64(max(s.Responses, 1)) }

func judgeFailures(old, target *Sample) string {
	if !exceeds(old.Failed, old.Responses, target.Failed, target.Responses) {
		return ""
	}
	return fmt.Sprintf("%d of %d responses failed, %d of %d of the old version", target.Failed, target.Responses, old.Failed, old.Responses)
}

// judgeMean compares the mean work times.
func judgeMean(old, target *Sample) string {
	if old.Timed < minSamples || target.Timed < minSamples {
		return ""
	}
	oldMean, oldError := old.mean()
	mean, meanError := target.mean()
	if mean < badRatio*oldMean || mean-oldMean < meanErrors*math.Hypot(oldError, meanError) {
		return ""
	}
	return fmt.Sprintf("mean work time %.1f ms, %.1f ms of the old version", mean*1000, oldMean*1000)
}

// mean returns the mean work time and its standard error in seconds.
func (s *Sample) mean() (mean, standardError float64) {
	n := float64(s.Timed)
	mean = s.Work / n
	return mean, math.Sqrt(max(s.Squares/n-mean*mean, 0) / n)
}

// judgeSlow compares the shares of slow responses, as some slow ones hardly change the mean.
func judgeSlow(old, target *Sample) string {
	if old.Timed < minSamples || target.Timed < minSamples {
		return ""
	}
	limit, below := 0, uint64(0)
	for ; limit < buckets-1; limit++ {
		if below += uint64(old.Classes[limit]); float64(below) >= slowQuantile*float64(old.Timed) {
			break
		}
	}
	limit += slowSteps
	slow, oldSlow := target.above(limit), old.above(limit)
	excess := float64(slow)/float64(target.Timed) - float64(oldSlow)/float64(old.Timed)
	if excess < slowExcess || !exceeds(oldSlow, old.Timed, slow, target.Timed) {
		return ""
	}
	return fmt.Sprintf("%d of %d responses are slow, %d of %d of the old version", slow, target.Timed, oldSlow, old.Timed)
}

// above returns the number of work times in classes above limit.
func (s *Sample) above(limit int) uint64 {
	n := uint64(0)
	for class := limit + 1; class < buckets; class++ {
		n += uint64(s.Classes[class])
	}
	return n
}

// exceeds reports whether bad of n responses are more than the old version explains, of which oldBad of
// oldN were bad. If both versions were equally good, the share of the target in all bad responses would
// be its share in all responses, so the test is the upper tail of a binomial distribution.
func exceeds(oldBad, oldN, bad, n uint64) bool {
	if bad < minFailures {
		return false
	}
	if oldN == 0 {
		return bad*2 >= n // there is nothing to compare with
	}
	return binomialTail(bad, bad+oldBad, float64(n)/float64(n+oldN)) < maxChance
}

// binomialTail returns the probability of at least k successes in m trials with probability p.
func binomialTail(k, m uint64, p float64) float64 {
	logGamma := func(x uint64) float64 { value, _ := math.Lgamma(float64(x) + 1); return value }
	sum := 0.0
	for i := k; i <= m; i++ {
		term := math.Exp(logGamma(m) - logGamma(i) - logGamma(m-i) + float64(i)*math.Log(p) + float64(m-i)*math.Log1p(-p))
		sum += term
		if term < sum*1e-9 && float64(i) > p*float64(m) {
			break
		}
	}
	return sum
}
